//! The last calls that entered here, for `explain`.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::SystemTime;

use operator::message::CallInfo;
use policy::id::CallId;
use policy::refusal::Refusal;
use policy::rule::Class;

/// Calls remembered.
const LENGTH: usize = 4096;

#[derive(Clone, Debug)]
struct Entry {
    call: CallId,
    wall: SystemTime,
    class: Arc<Class>,
    refusal: Option<Refusal>,
    attempts: u32,
}

/// The last calls that entered here.
#[derive(Debug)]
pub struct RecentCalls {
    entries: Mutex<VecDeque<Entry>>,
}

impl RecentCalls {
    pub fn new() -> Self {
        Self {
            entries: Mutex::new(VecDeque::with_capacity(LENGTH)),
        }
    }

    /// Remembers how a call ended.
    pub fn record(
        &self,
        wall: SystemTime,
        call: CallId,
        class: &Arc<Class>,
        refusal: Option<Refusal>,
        attempts: u32,
    ) {
        let entry = Entry {
            call,
            wall,
            class: Arc::clone(class),
            refusal,
            attempts,
        };
        let mut entries = self.entries.lock().expect("journal lock is never poisoned");
        if entries.len() == LENGTH {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// Finds a call by its id.
    pub fn find(&self, call: CallId) -> Option<CallInfo> {
        let entries = self.entries.lock().expect("journal lock is never poisoned");
        entries
            .iter()
            .rev()
            .find(|entry| entry.call == call)
            .map(Entry::info)
    }
}

impl Entry {
    fn info(&self) -> CallInfo {
        let wall = self
            .wall
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let (outcome, ran) = match &self.refusal {
            None => ("served", "ran"),
            Some(refusal) => (refusal.reason.as_str(), refusal.execution.as_str()),
        };
        CallInfo {
            call: format!("{:016x}", self.call),
            time_ms: wall.as_millis() as u64,
            kind: self.class.kind.to_string(),
            customer: self.class.customer.to_string(),
            rank: self.class.rank,
            outcome: outcome.into(),
            ran: ran.into(),
            line: self.class.line,
            asked_by: self.class.asked_by.to_string(),
            detail: format!("{} attempts sent", self.attempts),
        }
    }
}
