use rstest::rstest;

use super::*;

/// Guards against a check that accepts the response body of another request or a damaged one.
#[rstest]
#[case::complete(encode("a1", 100), Ok(()))]
#[case::empty(encode("a1", 0), Ok(()))]
#[case::none(Bytes::new(), Err(BodyError::Truncated))]
#[case::cut_in_line(encode("a1", 100).slice(..4), Err(BodyError::Truncated))]
#[case::cut_in_filler(encode("a1", 100).slice(..60), Err(BodyError::Truncated))]
#[case::swapped(encode("a2", 100), Err(BodyError::WrongRequest))]
#[case::duplicated([encode("a1", 100), encode("a1", 100)].concat().into(), Err(BodyError::TooLong))]
#[case::tail_duplicated([encode("a1", 100), encode("a1", 100).slice(60..)].concat().into(), Err(BodyError::TooLong))]
#[case::other_filler(other_filler(), Err(BodyError::Corrupted))]
fn wrong_bodies_are_rejected(#[case] body: Bytes, #[case] expected: Result<(), BodyError>) {
    assert_eq!(check("a1", &body), expected);
}

fn other_filler() -> Bytes {
    let (body, other) = (encode("a1", 100), encode("a2", 100));
    let line_end = body
        .iter()
        .position(|byte| *byte == b'\n')
        .expect("first line ends");
    [body.slice(..line_end), other.slice(line_end..)]
        .concat()
        .into()
}
