//! Position in the history of the platform's store.
//!
//! The store may return from an older copy. Its revisions then go back and are given out again, and
//! its era rises. A revision alone therefore orders the changes of one era only.

use serde::{Deserialize, Serialize};

use crate::id::{Era, Revision};

/// Revision of the store in one of its eras, in the order of the changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Position {
    /// Era.
    pub era: Era,
    /// Revision in that era.
    pub revision: Revision,
}

impl Position {
    /// Creates the position of a revision in an era.
    #[must_use]
    pub const fn new(era: Era, revision: Revision) -> Self {
        Self { era, revision }
    }
}
