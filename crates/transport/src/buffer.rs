//! Buffer of a body that is being received.
//!
//! A large body is kept in a memory map of its own. The allocator may keep memory that has been freed
//! for a second, or give it to a body that fills little of it; either way the process uses more
//! memory than it holds bodies. A map uses what has been written to it, and nothing once it is dropped.
//! Without the feature `maps` all bodies are kept in memory of the allocator.

use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

use map::Map;

#[cfg(feature = "maps")]
mod map;
#[cfg(not(feature = "maps"))]
#[path = "buffer/no_map.rs"]
mod map;
#[cfg(test)]
mod tests;

/// Size up to which a body is kept in memory of the allocator.
pub const MAX_HEAP_BYTES: usize = 64 << 10;

/// Bytes of a body that have been received.
#[derive(Debug)]
pub struct BodyBuffer(Storage);

#[derive(Debug)]
enum Storage {
    Heap(BytesMut),
    Map(Map),
}

impl Default for BodyBuffer {
    fn default() -> Self {
        Self::from(BytesMut::new())
    }
}

impl From<BytesMut> for BodyBuffer {
    fn from(bytes: BytesMut) -> Self {
        Self(Storage::Heap(bytes))
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        match &self.0 {
            Storage::Heap(bytes) => bytes,
            Storage::Map(map) => map.as_ref(),
        }
    }
}

impl BodyBuffer {
    /// Returns the number of bytes received.
    #[must_use]
    pub fn len(&self) -> usize {
        self.as_ref().len()
    }

    /// Whether no byte has been received.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn room(&self) -> usize {
        match &self.0 {
            Storage::Heap(bytes) => bytes.capacity(),
            Storage::Map(map) => map.room(),
        }
    }

    /// Makes room for a body of this many bytes, so that it is not copied while it grows.
    pub fn reserve(&mut self, total: usize) {
        if total <= self.room() {
            return;
        }
        let map = (total > MAX_HEAP_BYTES).then(|| Map::new(total, self.as_ref()));
        if let Some(map) = map.flatten() {
            self.0 = Storage::Map(map);
        } else if let Storage::Heap(bytes) = &mut self.0 {
            bytes.reserve(total - bytes.len());
        }
    }

    /// Appends a part.
    pub fn extend_from_slice(&mut self, part: &[u8]) {
        match &mut self.0 {
            Storage::Map(map) if part.len() <= map.room() - map.as_ref().len() => map.push(part),
            _ => self.heap().extend_from_slice(part),
        }
    }

    /// Reads some bytes, at most this many, and appends them; returns their number, 0 at the end of
    /// the stream.
    ///
    /// # Errors
    ///
    /// Fails if the read fails.
    pub async fn read_from(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
        limit: usize,
    ) -> io::Result<usize> {
        match &mut self.0 {
            Storage::Map(map) if map.as_ref().len() < map.room() => {
                let unused = map.unused();
                let limit = limit.min(unused.len());
                let count = reader.read(&mut unused[..limit]).await?;
                map.advance(count);
                Ok(count)
            }
            _ => reader.read_buf(&mut self.heap().limit(limit)).await,
        }
    }

    /// Returns the body in memory of the allocator. A map that is too small is copied there.
    fn heap(&mut self) -> &mut BytesMut {
        if let Storage::Map(map) = &self.0 {
            self.0 = Storage::Heap(BytesMut::from(map.as_ref()));
        }
        match &mut self.0 {
            Storage::Heap(bytes) => bytes,
            Storage::Map(_) => unreachable!("the map has been replaced"),
        }
    }

    /// Returns the bytes received. They are not copied.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        match self.0 {
            Storage::Heap(bytes) => bytes.freeze(),
            Storage::Map(map) => Bytes::from_owner(map),
        }
    }
}
