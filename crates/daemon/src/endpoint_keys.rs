//! Tickets of nested calls that the endpoint on this VM sends with an idempotency key.
//!
//! These keys are kept in memory: when this process ends, the endpoint that sent them has ended
//! too. Keys of outside callers are kept at their home.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use policy::home::{Claim, ClaimReply, KEY_RETENTION};
use policy::id::ServiceName;
use policy::ticket::Ticket;

/// Keys kept at a time. Beyond this, new ones are refused rather than old ones dropped.
const MAX_KEYS: usize = 50_000;

/// Service and idempotency key.
type ServiceKey = (ServiceName, Arc<str>);

/// Ticket of a key, and how many void tickets were replaced before it.
#[derive(Debug)]
struct KeyRecord {
    ticket: Ticket,
    replacements: u8,
}

#[derive(Debug, Default)]
struct Table {
    tickets: HashMap<ServiceKey, KeyRecord>,
    expiry_queue: VecDeque<(Instant, ServiceKey)>,
}

/// Tickets of the keys of the endpoint on this VM.
#[derive(Debug, Default)]
pub struct EndpointKeys {
    table: Mutex<Table>,
}

impl EndpointKeys {
    /// Binds a ticket to a key, or returns the ticket that is bound to it already.
    pub fn claim(&self, now: Instant, claim: Claim) -> ClaimReply {
        let mut table = self.table.lock().expect("key lock is never poisoned");
        table.expire(now);
        let key = (Arc::clone(&claim.service), Arc::clone(&claim.key));
        let full = table.tickets.len() >= MAX_KEYS;
        match table.tickets.get_mut(&key) {
            None if full => ClaimReply::Unavailable(0),
            None => {
                let record = KeyRecord {
                    ticket: claim.ticket.clone(),
                    replacements: 0,
                };
                table.tickets.insert(key.clone(), record);
                table.expiry_queue.push_back((now + KEY_RETENTION, key));
                ClaimReply::Stored(claim.ticket)
            }
            Some(record) if record.may_replace(&claim) => {
                *record = KeyRecord {
                    ticket: claim.ticket.clone(),
                    replacements: record.replacements + 1,
                };
                ClaimReply::Stored(claim.ticket)
            }
            Some(record) => ClaimReply::Found(record.ticket.clone()),
        }
    }
}

impl EndpointKeys {
    /// Whether a key was claimed before.
    pub fn contains(&self, now: Instant, service: &ServiceName, key: &str) -> bool {
        let mut table = self.table.lock().expect("key lock is never poisoned");
        table.expire(now);
        table
            .tickets
            .contains_key(&(Arc::clone(service), key.into()))
    }
}

impl KeyRecord {
    fn may_replace(&self, claim: &Claim) -> bool {
        claim.replaces == Some(self.ticket.id) && self.replacements < claim.extra_attempts
    }
}

impl Table {
    fn expire(&mut self, now: Instant) {
        while self
            .expiry_queue
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            if let Some((_, key)) = self.expiry_queue.pop_front() {
                self.tickets.remove(&key);
            }
        }
    }
}
