//! Response bodies of the stand-in endpoints, which name their request and carry a checksum.
//!
//! A body is one line with the request id, the filler length and the checksum, then the filler.

use std::fmt;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

#[cfg(test)]
mod tests;

/// Header with the request id.
pub const ID_HEADER: &str = "standin-id";

/// Why a response body is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyError {
    /// Shorter than the length it states.
    Truncated,
    /// Longer than the length it states.
    TooLong,
    /// Belongs to another request.
    WrongRequest,
    /// Malformed, or its checksum does not match.
    Corrupted,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Truncated => "the body is truncated",
            Self::TooLong => "the body is too long",
            Self::WrongRequest => "the body belongs to another request",
            Self::Corrupted => "the body is corrupted",
        })
    }
}

/// Returns the body for the request `id` with `size` bytes of filler.
#[must_use]
pub fn encode(id: &str, size: usize) -> Bytes {
    let seed = xxh3_64(id.as_bytes()).to_le_bytes();
    let filler: Vec<u8> = seed.into_iter().cycle().take(size).collect();
    let sum = checksum(id, &filler);
    let mut body = format!("{id} {size} {sum:016x}\n").into_bytes();
    body.extend_from_slice(&filler);
    body.into()
}

/// Checks that `body` is exactly the complete response body for the request `id`.
///
/// # Errors
///
/// The first [`BodyError`] found.
pub fn check(id: &str, body: &[u8]) -> Result<(), BodyError> {
    let line_end = body
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or(BodyError::Truncated)?;
    let line = str::from_utf8(&body[..line_end]).map_err(|_| BodyError::Corrupted)?;
    let filler = &body[line_end + 1..];
    let mut fields = line.split(' ');
    let (Some(found_id), Some(size), Some(sum)) = (fields.next(), fields.next(), fields.next())
    else {
        return Err(BodyError::Corrupted);
    };
    if found_id != id {
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
