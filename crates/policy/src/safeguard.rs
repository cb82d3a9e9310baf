//! Safeguards against a second run, which tests can turn off one at a time.
//!
//! Tests show in this way that their oracle finds a violation without the safeguard. Outside of
//! tests [`Safeguards`] has no state and every safeguard is in force.

/// A safeguard against a second run of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Safeguard {
    /// A ticket is accepted only by the incarnation that it names.
    IncarnationCheck,
    /// The right to start is checked after the wait in the queue.
    StartCheck,
    /// A call with a void ticket never starts.
    VoidFinal,
    /// An owner stops when its grant has expired.
    GrantExpiry,
    /// A successor takes over only by compare-and-swap.
    TakeoverSwap,
    /// A successor does not grant while the outcome of its own takeover is unknown.
    PendingTakeover,
    /// An owner stops serving a slot once it has offered it to the successor.
    HandOverStop,
    /// A key entry is used only after the successor has stored it.
    StoreFirst,
    /// A claim that was delayed on its way is refused.
    ClaimAge,
    /// A slot whose table was lost refuses claims for the retention time.
    Quarantine,
}

/// Safeguards in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Safeguards {
    #[cfg(test)]
    disabled: Option<Safeguard>,
}

impl Safeguards {
    /// Returns the safeguards with one turned off.
    #[cfg(test)]
    pub(crate) const fn without(safeguard: Safeguard) -> Self {
        Self {
            disabled: Some(safeguard),
        }
    }

    #[cfg(test)]
    pub(crate) fn enforces(self, safeguard: Safeguard) -> bool {
        self.disabled != Some(safeguard)
    }

    #[cfg(not(test))]
    #[expect(
        clippy::unused_self,
        reason = "the type has state in tests, with the same signature"
    )]
    pub(crate) const fn enforces(self, _: Safeguard) -> bool {
        true
    }
}
