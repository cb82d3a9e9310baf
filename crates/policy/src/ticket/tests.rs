use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::*;

const INCARNATION: Incarnation = 7;

fn at(second: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000 + second)
}

fn issue(seed: u64, second: u64) -> Ticket {
    let mut rng = SmallRng::seed_from_u64(seed);
    Ticket::new("despacho-1".into(), INCARNATION, at(second), &mut rng)
}

fn table(records: usize) -> TicketTable {
    let limits = TicketLimits {
        records,
        response_bytes: 1_000,
    };
    TicketTable::new("despacho-1".into(), INCARNATION, limits)
}

fn response(size: usize) -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: Vec::new(),
        body: vec![1; size].into(),
    }
}

const NOT_RUN: TicketDecision = TicketDecision::Refused(Refusal::not_run(Reason::QueueFull));
const UNKNOWN: TicketDecision = TicketDecision::Refused(Refusal::unknown(Reason::Ticket));

/// Guards against a header that is parsed as a different ticket from the one that was sent.
#[test]
fn text_form_round_trips() {
    let ticket = issue(1, 0);
    let text = ticket.to_string();
    assert_eq!(text.parse(), Ok(ticket));
    let dotted = Ticket {
        vm: "a.b".into(),
        ..issue(2, 0)
    };
    assert_eq!(dotted.to_string().parse(), Ok(dotted));
}

/// Guards against malformed headers that are accepted as tickets, and against a second text form.
#[rstest]
#[case("")]
#[case("1.7.1.1")]
#[case("1.7.1.1.")]
#[case("2.7.1.1.vm")]
#[case("1.+7.1.1.vm")]
#[case("1.07.1.1.vm")]
#[case("1.A.1.1.vm")]
#[case("1.7.1.1ffffffffffffffff.vm")]
#[case("1.7.1.1.v m")]
#[case("1.7.1.1.vé")]
fn malformed_text_is_refused(#[case] text: &str) {
    assert_eq!(text.parse::<Ticket>(), Err(TicketError));
}

proptest::proptest! {
    /// Guards against a panic on a header from an untrusted caller.
    #[test]
    fn parse_never_panics(text in "\\PC*|1\\.[0-9a-f]{0,17}\\.[0-9a-f]{0,33}\\.[0-9a-f]{0,17}\\..*") {
        if let Ok(ticket) = text.parse::<Ticket>() {
            proptest::prop_assert_eq!(ticket.to_string(), text);
        }
    }
}

/// Guards against a resend that starts a second run or does not get the response.
#[test]
fn resend_finds_the_run() {
    let (mut table, ticket) = (table(10), issue(1, 0));
    assert_eq!(table.admit(at(0), &ticket, 2), TicketDecision::Queue);
    assert_eq!(table.admit(at(1), &ticket, 2), TicketDecision::Join);
    assert_eq!(table.start(at(2), ticket.id), Ok(1));
    assert_eq!(
        table.start(at(2), ticket.id),
        Err(Refusal::unknown(Reason::Ticket))
    );
    assert_eq!(table.admit(at(3), &ticket, 2), TicketDecision::Join);
    let spent = TicketDecision::Refused(Refusal::unknown(Reason::Attempts));
    assert_eq!(table.admit(at(4), &ticket, 2), spent);
    table.finish(ticket.id, Some(response(10)));
    let TicketDecision::Stored(stored) = table.admit(at(5), &ticket, 2) else {
        panic!("the response is stored");
    };
    assert_eq!(stored.body.len(), 10);
    assert_eq!(
        table
            .start(at(6), ticket.id)
            .map_err(|refusal| refusal.execution),
        Err(Execution::Ran)
    );
}

/// Guards against a start after "not run" was reported, whether the ticket was voided before or
/// after its call arrived.
#[rstest]
#[case::void_before_call(true)]
#[case::void_in_queue(false)]
fn void_is_final(#[case] before: bool) {
    let (mut table, ticket) = (table(10), issue(1, 0));
    if !before {
        assert_eq!(table.admit(at(0), &ticket, 2), TicketDecision::Queue);
    }
    assert_eq!(table.void(at(1), &ticket), Ok(()));
    assert_eq!(table.admit(at(1), &ticket, 2), TicketDecision::Void);
    if !before {
        assert_eq!(
            table.start(at(2), ticket.id),
            Err(Refusal::not_run(Reason::Ticket))
        );
    }
    assert_eq!(table.admit(at(800), &ticket, 2), TicketDecision::Void);
    // After the expiry the record is removed, so the table no longer knows that nothing ran.
    assert_eq!(table.admit(at(900), &ticket, 2), UNKNOWN);
}

/// Guards against "not run" for a call that has started.
#[test]
fn started_ticket_cannot_be_voided() {
    let (mut table, ticket) = (table(10), issue(1, 0));
    table.admit(at(0), &ticket, 2);
    table.start(at(0), ticket.id).expect("in time");
    assert_eq!(
        table.void(at(0), &ticket),
        Err(Refusal::unknown(Reason::Ticket))
    );
    table.fail(ticket.id);
    assert_eq!(
        table.void(at(0), &ticket),
        Err(Refusal::unknown(Reason::Ticket))
    );
    let lost = TicketDecision::Refused(Refusal::unknown(Reason::Connection));
    assert_eq!(table.admit(at(1), &ticket, 2), lost);
}

/// Guards against a start after a pause during which the ticket expired.
#[test]
fn expired_in_queue_is_not_run() {
    let (mut table, ticket) = (table(10), issue(1, 0));
    table.admit(at(0), &ticket, 2);
    let refusal = Err(Refusal::not_run(Reason::Ticket));
    assert_eq!(table.start(at(841), ticket.id), refusal);
    // A clock that is set back does not make the ticket valid again.
    assert_eq!(table.start(at(0), ticket.id), refusal);
}

/// Guards against a run or a "not run" for tickets that this process cannot verify.
#[rstest]
#[case::older_process(INCARNATION - 1, 100)]
#[case::newer_process(INCARNATION + 1, 100)]
#[case::expired(INCARNATION, 0)]
#[case::too_far_ahead(INCARNATION, 901)]
fn unverifiable_ticket_is_unknown(#[case] incarnation: Incarnation, #[case] expires: u64) {
    let ticket = Ticket {
        incarnation,
        expires_ms: unix_ms(at(expires)),
        ..issue(1, 0)
    };
    let mut table = table(10);
    assert_eq!(table.admit(at(0), &ticket, 2), UNKNOWN);
    assert_eq!(
        table.void(at(0), &ticket),
        Err(Refusal::unknown(Reason::Ticket))
    );
}

/// Guards against a full table that drops a record, or starts a call that it has refused.
#[test]
fn full_table_refuses_permanently() {
    let mut table = table(1);
    let (recorded, refused, later) = (issue(1, 0), issue(2, 5), issue(3, 846));
    assert_eq!(table.admit(at(0), &recorded, 2), TicketDecision::Queue);
    assert_eq!(table.admit(at(5), &refused, 2), NOT_RUN);
    assert_eq!(table.admit(at(6), &recorded, 2), TicketDecision::Join);
    assert_eq!(table.start(at(6), recorded.id), Ok(1));
    table.finish(recorded.id, None);
    // The record has expired, and the refused ticket has not.
    assert_eq!(table.admit(at(843), &refused, 2), NOT_RUN);
    assert_eq!(table.stats().records, 0);
    assert_eq!(table.admit(at(846), &later, 2), TicketDecision::Queue);
    assert_eq!(table.stats().records, 1);
}

/// Guards against stored responses beyond the space for them, and against "not run" for calls whose
/// response was not stored.
#[test]
fn stored_responses_are_bounded() {
    let mut table = table(10);
    for (seed, size, stored) in [(1, 600, true), (2, 600, false), (3, 400, true)] {
        let ticket = issue(seed, 0);
        table.admit(at(0), &ticket, 2);
        table.start(at(0), ticket.id).expect("in time");
        table.finish(ticket.id, Some(response(size)));
        match table.admit(at(1), &ticket, 2) {
            TicketDecision::Stored(response) => assert!(stored && response.size() == size),
            TicketDecision::Refused(refusal) => {
                assert!(!stored && refusal.execution == Execution::Ran);
            }
            other => panic!("unexpected {other:?}"),
        }
    }
    assert_eq!(table.stats().response_bytes, 1_000);
    table.remove_expired(at(900));
    assert_eq!(
        (table.stats().records, table.stats().response_bytes),
        (0, 0)
    );
}
