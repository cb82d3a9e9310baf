//! Buffer of a body that is being received.
//!
//! A large body is kept in a memory map of its own. The allocator may keep memory that has been freed
//! for a second, or give it to a body that fills little of it; either way the process uses more
//! memory than it holds bodies. A map uses what has been written to it, and nothing once it is dropped.

use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use memmap2::{MmapMut, MmapOptions};
use tokio::io::{AsyncRead, AsyncReadExt};

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

/// A memory map and the number of bytes that have been written to its start.
#[derive(Debug)]
struct Map {
    bytes: MmapMut,
    length: usize,
}

impl Map {
    /// Returns a map with room for this many bytes, or `None` if the system has none.
    fn new(room: usize, start: &[u8]) -> Option<Self> {
        let mut options = MmapOptions::new();
        let bytes = options.len(room).no_reserve_swap().map_anon().ok()?;
        let mut map = Self { bytes, length: 0 };
        map.push(start);
        Some(map)
    }

    fn push(&mut self, part: &[u8]) {
        let end = self.length + part.len();
        self.bytes[self.length..end].copy_from_slice(part);
        self.length = end;
    }
}

impl AsRef<[u8]> for Map {
    fn as_ref(&self) -> &[u8] {
        &self.bytes[..self.length]
    }
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
            Storage::Map(map) => map.bytes.len(),
        }
    }

    /// Makes room for a body of this many bytes, so that it is not copied while it grows.
    pub fn reserve(&mut self, total: usize) {
        if total <= self.room() {
            return;
        }
        let map = (total > MAX_HEAP_BYTES).then(|| Map::new(total, self.as_ref()));
        match (map.flatten(), &mut self.0) {
            (Some(map), _) => self.0 = Storage::Map(map),
            (None, Storage::Heap(bytes)) => bytes.reserve(total - bytes.len()),
            // `extend_from_slice` copies a full map to the heap.
            (None, Storage::Map(_)) => {}
        }
    }

    /// Appends a part.
    pub fn extend_from_slice(&mut self, part: &[u8]) {
        match &mut self.0 {
            Storage::Heap(bytes) => bytes.extend_from_slice(part),
            Storage::Map(map) if map.length + part.len() <= map.bytes.len() => map.push(part),
            Storage::Map(map) => {
                let mut bytes = BytesMut::from(map.as_ref());
                bytes.extend_from_slice(part);
                self.0 = Storage::Heap(bytes);
            }
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
            Storage::Map(map) if map.length < map.bytes.len() => {
                let end = map.bytes.len().min(map.length + limit);
                let count = reader.read(&mut map.bytes[map.length..end]).await?;
                map.length += count;
                Ok(count)
            }
            Storage::Map(map) => {
                self.0 = Storage::Heap(BytesMut::from(map.as_ref()));
                Box::pin(self.read_from(reader, limit)).await
            }
            Storage::Heap(bytes) => reader.read_buf(&mut bytes.limit(limit)).await,
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
