//! Replaces memory maps where the feature `maps` is off: there are none.

/// A memory map.
#[derive(Debug)]
pub enum Map {}

impl Map {
    pub fn new(_room: usize, _start: &[u8]) -> Option<Self> {
        None
    }

    pub fn room(&self) -> usize {
        match *self {}
    }

    pub fn unused(&mut self) -> &mut [u8] {
        match *self {}
    }

    pub fn advance(&mut self, _count: usize) {
        match *self {}
    }

    pub fn push(&mut self, _part: &[u8]) {
        match *self {}
    }
}

impl AsRef<[u8]> for Map {
    fn as_ref(&self) -> &[u8] {
        match *self {}
    }
}
