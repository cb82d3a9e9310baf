//! The last calls that callers sent to this daemon, for the operator command `explain`.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::SystemTime;

use operator::message::CallInfo;
use policy::id::CallId;
use policy::refusal::Refusal;
use policy::rule::Class;

/// Calls kept; beyond this, the oldest is dropped.
const MAX_RECENT_CALLS: usize = 4096;

#[derive(Clone, Debug)]
struct RecordedCall {
    call: CallId,
    wall: SystemTime,
    class: Arc<Class>,
    refusal: Option<Refusal>,
    attempts: u32,
}

/// The last calls that callers sent to this daemon.
#[derive(Debug)]
pub struct RecentCalls {
    calls: Mutex<VecDeque<RecordedCall>>,
}

impl RecentCalls {
    pub fn new() -> Self {
        Self {
            calls: Mutex::new(VecDeque::with_capacity(MAX_RECENT_CALLS)),
        }
    }

    /// Records how a call ended.
    pub fn record(
        &self,
        wall: SystemTime,
        call: CallId,
        class: &Arc<Class>,
        refusal: Option<Refusal>,
        attempts: u32,
    ) {
        let recorded = RecordedCall {
            call,
            wall,
            class: Arc::clone(class),
            refusal,
            attempts,
        };
        let mut calls = self.calls.lock().expect("call lock is never poisoned");
        if calls.len() == MAX_RECENT_CALLS {
            calls.pop_front();
        }
        calls.push_back(recorded);
    }

    /// Finds a call by its id.
    pub fn find(&self, call: CallId) -> Option<CallInfo> {
        let calls = self.calls.lock().expect("call lock is never poisoned");
        calls
            .iter()
            .rev()
            .find(|recorded| recorded.call == call)
            .map(RecordedCall::info)
    }
}

impl RecordedCall {
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
