//! Switch that turns off one protection at a time, so that tests can show that their oracle objects.
//!
//! Outside of tests the switch has no state and every protection is in force.

/// A protection against a second run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Safeguard {
    /// A ticket is accepted only by the incarnation that it names.
    IncarnationCheck,
    /// The right to start is checked after the queue.
    StartCheck,
    /// A void ticket never starts.
    VoidFinal,
    /// An owner stops when its grant has expired.
    GrantExpiry,
    /// A successor takes over only by compare-and-swap.
    TakeoverSwap,
    /// A successor that has asked to take over does not grant while the effect is unknown.
    PendingTakeover,
    /// A slot that was offered to the successor is served no more.
    HandOverStop,
    /// An entry is used only after the successor has stored it.
    StoreFirst,
    /// A claim that was held up on its way is refused.
    ClaimAge,
    /// A slot with a lost table refuses claims for the retention time.
    Quarantine,
}

/// Protections in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Safeguards {
    #[cfg(test)]
    off: Option<Safeguard>,
}

impl Safeguards {
    /// Turns off one protection.
    #[cfg(test)]
    pub(crate) const fn without(mechanism: Safeguard) -> Self {
        Self {
            off: Some(mechanism),
        }
    }

    #[cfg(test)]
    pub(crate) fn enforces(self, mechanism: Safeguard) -> bool {
        self.off != Some(mechanism)
    }

    #[cfg(not(test))]
    #[expect(
        clippy::unused_self,
        reason = "the switch has state in tests, with the same signature"
    )]
    pub(crate) const fn enforces(self, _: Safeguard) -> bool {
        true
    }
}
