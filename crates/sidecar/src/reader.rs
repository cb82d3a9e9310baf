//! Reading of frames from a connection between daemons.

use std::fmt;
use std::ops::ControlFlow;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::frame::{BadFrame, Decoder, Frame};

#[cfg(test)]
mod tests;

/// Initial capacity of the buffer of a connection.
const BUFFER_BYTES: usize = 16 << 10;

/// Why no more frames can be read from a connection.
#[derive(Debug)]
pub enum ReadError {
    /// The peer closed the connection.
    Closed,
    /// The connection failed.
    Failed(std::io::Error),
    /// The bytes cannot be decoded as a frame.
    BadFrame,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("closed by the peer"),
            Self::Failed(error) => write!(f, "read: {error}"),
            Self::BadFrame => f.write_str("a frame cannot be decoded"),
        }
    }
}

/// Passes frames to `handle` until it breaks off.
///
/// `received` is called whenever bytes arrive, even if they do not complete a frame.
///
/// # Errors
///
/// Returns why the connection ended before that.
pub async fn read_frames<T>(
    reader: &mut (impl AsyncRead + Unpin),
    received: impl Fn(),
    mut handle: impl FnMut(Frame, Bytes) -> ControlFlow<T>,
) -> Result<T, ReadError> {
    let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
    let mut decoder = Decoder::default();
    loop {
        match reader.read_buf(&mut buffer).await {
            Ok(0) => return Err(ReadError::Closed),
            Ok(_) => received(),
            Err(error) => return Err(ReadError::Failed(error)),
        }
        while let Some((frame, body)) = decoder
            .decode(&mut buffer)
            .map_err(|BadFrame| ReadError::BadFrame)?
        {
            if let ControlFlow::Break(value) = handle(frame, body) {
                return Ok(value);
            }
        }
    }
}
