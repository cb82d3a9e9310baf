//! Frames as they arrive on a connection between daemons.

use std::fmt;
use std::ops::ControlFlow;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::frame::{BadFrame, Decoder, Frame};

#[cfg(test)]
mod tests;

/// Bytes for which a connection has room at once.
const CAPACITY: usize = 16 << 10;

/// Why no more frames come.
#[derive(Debug)]
pub enum ReadError {
    /// The other side closed the connection.
    Closed,
    /// The connection failed.
    Failed(std::io::Error),
    /// Bytes are no frame.
    BadFrame,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("closed by the other side"),
            Self::Failed(error) => write!(f, "read: {error}"),
            Self::BadFrame => f.write_str("a frame cannot be read"),
        }
    }
}

/// Hands frames to `take` until it breaks off.
///
/// `heard` is called whenever bytes arrive, also those of a frame that is not whole yet.
///
/// # Errors
///
/// Tells why the connection ended before.
pub async fn read_frames<T>(
    reader: &mut (impl AsyncRead + Unpin),
    heard: impl Fn(),
    mut take: impl FnMut(Frame, Bytes) -> ControlFlow<T>,
) -> Result<T, ReadError> {
    let mut buffer = BytesMut::with_capacity(CAPACITY);
    let mut decoder = Decoder::default();
    loop {
        match reader.read_buf(&mut buffer).await {
            Ok(0) => return Err(ReadError::Closed),
            Ok(_) => heard(),
            Err(error) => return Err(ReadError::Failed(error)),
        }
        while let Some((frame, body)) = decoder
            .decode(&mut buffer)
            .map_err(|BadFrame| ReadError::BadFrame)?
        {
            if let ControlFlow::Break(value) = take(frame, body) {
                return Ok(value);
            }
        }
    }
}
