//! Bodies of answers, which name their request and carry a checksum.
//!
//! A body is a line with the id, the length and the checksum, then as many bytes of filler.

use std::fmt;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

#[cfg(test)]
mod tests;

/// Header that names the request.
pub const ID_HEADER: &str = "standin-id";

/// What is wrong with a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyError {
    /// Bytes are missing.
    Truncated,
    /// There are more bytes than the length says.
    TooLong,
    /// The answer belongs to another request.
    WrongRequest,
    /// The checksum does not match.
    Corrupted,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Truncated => "cut short",
            Self::TooLong => "too long",
            Self::WrongRequest => "of another request",
            Self::Corrupted => "changed on the way",
        })
    }
}

/// Body for the request `id` with `size` bytes of filler.
#[must_use]
pub fn encode(id: &str, size: usize) -> Bytes {
    let seed = xxh3_64(id.as_bytes()).to_le_bytes();
    let filler: Vec<u8> = seed.into_iter().cycle().take(size).collect();
    let sum = checksum(id, &filler);
    let mut body = format!("{id} {size} {sum:016x}\n").into_bytes();
    body.extend_from_slice(&filler);
    body.into()
}

/// Checks that `body` is the whole answer to the request `id` and nothing else.
///
/// # Errors
///
/// The first [`BodyError`] that was found.
pub fn check(id: &str, body: &[u8]) -> Result<(), BodyError> {
    let end = body
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or(BodyError::Truncated)?;
    let line = str::from_utf8(&body[..end]).map_err(|_| BodyError::Corrupted)?;
    let filler = &body[end + 1..];
    let mut fields = line.split(' ');
    let (Some(own), Some(size), Some(sum)) = (fields.next(), fields.next(), fields.next()) else {
        return Err(BodyError::Corrupted);
    };
    if own != id {
        return Err(BodyError::WrongRequest);
    }
    let size: usize = size.parse().map_err(|_| BodyError::Corrupted)?;
    if filler.len() < size {
        return Err(BodyError::Truncated);
    }
    if filler.len() > size {
        return Err(BodyError::TooLong);
    }
    if sum != format!("{:016x}", checksum(id, filler)) {
        return Err(BodyError::Corrupted);
    }
    Ok(())
}

fn checksum(id: &str, filler: &[u8]) -> u64 {
    xxh3_64(filler) ^ xxh3_64(id.as_bytes()).rotate_left(1)
}
