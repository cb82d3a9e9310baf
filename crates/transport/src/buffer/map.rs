//! Memory map that is filled from its start.

use memmap2::{MmapMut, MmapOptions};

/// A memory map and the number of bytes that have been written to it.
#[derive(Debug)]
pub struct Map {
    bytes: MmapMut,
    length: usize,
}

impl Map {
    /// Returns a map with room for this many bytes that begins with some, or `None` if the system has
    /// no room.
    pub fn new(room: usize, start: &[u8]) -> Option<Self> {
        let mut options = MmapOptions::new();
        let bytes = options.len(room).no_reserve_swap().map_anon().ok()?;
        let mut map = Self { bytes, length: 0 };
        map.push(start);
        Some(map)
    }

    /// Returns the size of the map.
    pub fn room(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the part that has not been written.
    pub fn unused(&mut self) -> &mut [u8] {
        &mut self.bytes[self.length..]
    }

    /// Counts bytes at the start of the unused part as written.
    pub fn advance(&mut self, count: usize) {
        self.length += count;
    }

    /// Appends bytes, for which there must be room.
    pub fn push(&mut self, part: &[u8]) {
        self.unused()[..part.len()].copy_from_slice(part);
        self.advance(part.len());
    }
}

impl AsRef<[u8]> for Map {
    fn as_ref(&self) -> &[u8] {
        &self.bytes[..self.length]
    }
}
