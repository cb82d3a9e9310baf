//! Order of the calls that wait for an endpoint, with fair shares between organisations.
//!
//! Ranks are strict. Within a rank, start-time fair queueing divides the slots: every organisation
//! has a start tag, the slot time that it has used so far, and the waiting organisation with the
//! lowest tag goes next. Its tag then grows by the expected hold time of the call. An organisation
//! that had no calls waiting resumes at the virtual time, which is the lowest tag of those that
//! wait, so idle time gives no credit. Organisations that demand less than an equal share are
//! therefore served as soon as they ask, and the others divide the rest equally (max-min).
//!
//! Within an organisation, calls go by the time that their chain still needs, by deadline and by
//! arrival. Calls without an organisation form one flow, so without organisations that is the whole
//! order.
//!
//! The wait of a call cannot be derived from the calls ahead of it alone, because calls of small
//! organisations that arrive later go ahead too. The virtual time accounts for them: a call starts
//! when it reaches the call's start tag, and its recent pace is known.
//!
//! Nested calls have a rank key of their own and thus a virtual time of their own. Work already
//! begun goes before new chains of its rank, and what it uses is not charged to the new chains.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use crate::id::OrganisationName;
use crate::organisation::MAX_TRACKED;
use crate::queue::{QueuedCall, WaitingId};
use crate::recent_map::RecentMap;

#[cfg(test)]
mod tests;

/// Smallest cost of a call, so that every start moves the tag of its organisation.
const MIN_COST: Duration = Duration::from_micros(100);

/// Time over which the pace of the virtual time is averaged: some ten rounds through 71
/// organisations at an endpoint with 68 slots and 36 ms of work.
const PACE_WINDOW: Duration = Duration::from_millis(500);

/// Factor on the time that follows from the pace. A call that starts later than expected may end
/// after its deadline, and its work is wasted. At 1.5 times the capacity, 0.64 of the calls are served
/// with a factor of 1 and 0.66 with this one.
const PACE_MARGIN: f64 = 1.2;

/// Time with waiting calls after which the pace is used.
const MIN_PACE_TIME: Duration = Duration::from_millis(100);

/// Ranks that are kept. A configuration has a few; one without waiting calls is dropped beyond this.
const MAX_RANKS: usize = 64;

/// Calls with the same organisation, or with none.
type FlowName = Option<OrganisationName>;

/// Position among the waiting calls of one flow: remaining time, deadline, arrival.
type CallKey = (Duration, Instant, WaitingId);

/// Where a call waits.
#[derive(Clone, Debug)]
struct Place {
    rank: u32,
    flow: FlowName,
    key: CallKey,
}

/// Position of a waiting call.
#[derive(Clone, Copy, Debug)]
pub struct Position {
    /// Waiting calls that go before it.
    pub ahead: usize,
    /// Time until it starts at the recent pace of its rank; zero for a call without an organisation.
    pub wait: Duration,
}

/// Pace of a virtual time, over the recent time in which calls waited.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    advanced: f64,
    time: f64,
    updated_at: Option<Instant>,
}

impl Pace {
    /// Records that calls waited until now and by how much the virtual time has advanced.
    fn record(&mut self, now: Instant, advanced: Duration) {
        let since = self.updated_at.replace(now).unwrap_or(now);
        // After a pause of the endpoint, older samples still count.
        let passed = now.saturating_duration_since(since).min(PACE_WINDOW);
        let factor = (-passed.as_secs_f64() / PACE_WINDOW.as_secs_f64()).exp();
        self.advanced = self.advanced * factor + advanced.as_secs_f64();
        self.time = self.time * factor + passed.as_secs_f64();
    }

    /// Returns the time in which the virtual time advances by this much.
    fn time_for(&self, distance: Duration) -> Duration {
        if self.time < MIN_PACE_TIME.as_secs_f64() || self.advanced <= 0.0 {
            return Duration::ZERO;
        }
        let time = distance.as_secs_f64() * self.time / self.advanced * PACE_MARGIN;
        Duration::try_from_secs_f64(time).unwrap_or(Duration::MAX)
    }
}

/// Waiting calls of one organisation in one rank.
#[derive(Debug)]
struct Flow<T> {
    tag: Duration,
    calls: BTreeMap<CallKey, QueuedCall<T>>,
    /// Sum of the costs of its calls.
    cost: Duration,
}

impl<T> Flow<T> {
    fn new(tag: Duration) -> Self {
        Self {
            tag,
            calls: BTreeMap::new(),
            cost: Duration::ZERO,
        }
    }

    /// Returns how many of its calls start before a call with this tag and key, taking all its
    /// calls for equally long.
    fn calls_before(&self, tag: Duration, key: CallKey) -> usize {
        let Some((first, _)) = self.calls.first_key_value() else {
            return 0;
        };
        if self.tag == tag {
            return usize::from(*first < key);
        }
        let mean = self.cost.as_secs_f64() / self.calls.len() as f64;
        let lead = tag.saturating_sub(self.tag).as_secs_f64();
        ((lead / mean).ceil() as usize).min(self.calls.len())
    }
}

/// Waiting calls of one rank.
#[derive(Debug)]
struct RankQueue<T> {
    /// Only grows.
    virtual_time: Duration,
    pace: Pace,
    flows: BTreeMap<FlowName, Flow<T>>,
}

impl<T> RankQueue<T> {
    /// Returns the time until a call with this start tag starts.
    fn wait(&self, name: &FlowName, tag: Duration) -> Duration {
        if name.is_none() {
            return Duration::ZERO;
        }
        self.pace.time_for(tag.saturating_sub(self.virtual_time))
    }

    /// Moves the virtual time up to the lowest tag of the waiting flows.
    fn advance(&mut self, now: Instant) {
        let lowest = self.flows.values().map(|flow| flow.tag).min();
        let advanced = lowest.unwrap_or_default().saturating_sub(self.virtual_time);
        self.virtual_time += advanced;
        self.pace.record(now, advanced);
    }

    fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.calls.len()).sum()
    }
}

impl<T> Default for RankQueue<T> {
    fn default() -> Self {
        Self {
            virtual_time: Duration::ZERO,
            pace: Pace::default(),
            flows: BTreeMap::new(),
        }
    }
}

/// Waiting calls in the order in which they start.
#[derive(Debug)]
pub struct FairQueue<T> {
    ranks: BTreeMap<u32, RankQueue<T>>,
    places: BTreeMap<WaitingId, Place>,
    /// Tags of the flows without waiting calls.
    idle: RecentMap<(u32, FlowName), Duration>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            ranks: BTreeMap::new(),
            places: BTreeMap::new(),
            idle: RecentMap::new(MAX_TRACKED),
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Charges a call that starts without waiting to its organisation.
    pub fn charge(&mut self, rank: u32, organisation: Option<&OrganisationName>, cost: Duration) {
        let flow = organisation.cloned();
        let tag = self.tag(rank, &flow);
        let queue = self.ranks.entry(rank).or_default();
        if queue.flows.is_empty() {
            queue.virtual_time = tag;
        }
        let idle = self
            .idle
            .use_or_insert_with(&(rank, flow), Duration::default);
        *idle = tag + cost.max(MIN_COST);
        self.limit_ranks();
    }

    /// Returns the position of a new call.
    #[must_use]
    pub fn position(&self, id: WaitingId, call: &QueuedCall<T>) -> Position {
        let urgent = self.ranks.range(..call.rank);
        let more_urgent: usize = urgent.map(|(_, queue)| queue.len()).sum();
        let Some(queue) = self.ranks.get(&call.rank) else {
            return Position {
                ahead: more_urgent,
                wait: Duration::ZERO,
            };
        };
        let key = key(id, call);
        let own = queue.flows.get(&call.organisation);
        let own_ahead = own.into_iter().flat_map(|flow| flow.calls.range(..key));
        let (count, cost) = own_ahead.fold((0, Duration::ZERO), |(count, cost), (_, call)| {
            (count + 1, cost + call.cost.max(MIN_COST))
        });
        let tag = self.tag(call.rank, &call.organisation) + cost;
        let others = queue
            .flows
            .iter()
            .filter(|(name, _)| **name != call.organisation)
            .map(|(_, flow)| flow.calls_before(tag, key));
        Position {
            ahead: more_urgent + count + others.sum::<usize>(),
            wait: queue.wait(&call.organisation, tag),
        }
    }

    /// Adds a call.
    pub fn insert(&mut self, now: Instant, id: WaitingId, call: QueuedCall<T>) {
        let place = Place {
            rank: call.rank,
            flow: call.organisation.clone(),
            key: key(id, &call),
        };
        let tag = self.tag(place.rank, &place.flow);
        let queue = self.ranks.entry(place.rank).or_default();
        if queue.flows.is_empty() {
            queue.virtual_time = tag;
            queue.pace.updated_at = Some(now);
        }
        let flow = queue.flows.entry(place.flow.clone());
        let flow = flow.or_insert_with(|| Flow::new(tag));
        flow.cost += call.cost.max(MIN_COST);
        flow.calls.insert(place.key, call);
        queue.advance(now);
        self.idle.remove(&(place.rank, place.flow.clone()));
        self.places.insert(id, place);
    }

    /// Removes a call that does not start.
    pub fn remove(&mut self, id: WaitingId) -> Option<QueuedCall<T>> {
        let place = self.places.remove(&id)?;
        let queue = self.ranks.get_mut(&place.rank)?;
        let flow = queue.flows.get_mut(&place.flow)?;
        let call = flow.calls.remove(&place.key)?;
        flow.cost = flow.cost.saturating_sub(call.cost.max(MIN_COST));
        if flow.calls.is_empty() {
            let tag = flow.tag;
            queue.flows.remove(&place.flow);
            let name = (place.rank, place.flow);
            *self.idle.use_or_insert_with(&name, Duration::default) = tag;
            self.limit_ranks();
        }
        Some(call)
    }

    /// Removes the next call that can be served, and charges it to its organisation.
    pub fn take_next(
        &mut self,
        now: Instant,
        is_servable: impl Fn(&QueuedCall<T>) -> bool,
    ) -> Option<QueuedCall<T>> {
        let (rank, name, key) = self.ranks.iter().find_map(|(rank, queue)| {
            queue
                .flows
                .iter()
                .filter_map(|(name, flow)| {
                    let first = flow.calls.iter().find(|(_, call)| is_servable(call));
                    first.map(|(key, _)| (flow.tag, *key, name))
                })
                .min()
                .map(|(_, key, name)| (*rank, name.clone(), key))
        })?;
        let queue = self.ranks.get_mut(&rank)?;
        queue.advance(now);
        let flow = queue.flows.get_mut(&name)?;
        flow.tag += flow.calls.get(&key)?.cost.max(MIN_COST);
        self.remove(key.2)
    }

    /// Returns the ids of the calls that are late at their positions. Late calls are not counted in
    /// those of others, because they never start.
    #[must_use]
    pub fn late(&self, is_late: impl Fn(Position, &QueuedCall<T>) -> bool) -> Vec<WaitingId> {
        let mut ahead = 0;
        let mut late = Vec::new();
        for queue in self.ranks.values() {
            let flows = queue.flows.values();
            let mut waiting: Vec<_> = flows.map(|flow| flow.calls.iter().peekable()).collect();
            let mut turns = BinaryHeap::new();
            for (index, (flow, calls)) in queue.flows.values().zip(&mut waiting).enumerate() {
                if let Some((key, _)) = calls.peek() {
                    turns.push(Reverse((flow.tag, *key, index)));
                }
            }
            while let Some(Reverse((mut tag, _, index))) = turns.pop() {
                let calls = &mut waiting[index];
                if let Some((key, call)) = calls.next() {
                    let wait = queue.wait(&call.organisation, tag);
                    if is_late(Position { ahead, wait }, call) {
                        late.push(key.2);
                    } else {
                        ahead += 1;
                        tag += call.cost.max(MIN_COST);
                    }
                }
                if let Some((key, _)) = calls.peek() {
                    turns.push(Reverse((tag, *key, index)));
                }
            }
        }
        late
    }

    /// Removes and returns all calls.
    pub fn clear(&mut self) -> Vec<QueuedCall<T>> {
        let ids: Vec<_> = self
            .ranks
            .values()
            .flat_map(|queue| queue.flows.values())
            .flat_map(|flow| flow.calls.keys().map(|key| key.2))
            .collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns the tag of a flow.
    fn tag(&self, rank: u32, name: &FlowName) -> Duration {
        let Some(queue) = self.ranks.get(&rank) else {
            return Duration::ZERO;
        };
        if let Some(flow) = queue.flows.get(name) {
            return flow.tag;
        }
        let idle = self.idle.get(&(rank, name.clone())).copied();
        queue.virtual_time.max(idle.unwrap_or_default())
    }

    /// Drops a rank without waiting calls if there are too many.
    fn limit_ranks(&mut self) {
        if self.ranks.len() <= MAX_RANKS {
            return;
        }
        let empty = self.ranks.iter().find(|(_, queue)| queue.flows.is_empty());
        let Some(rank) = empty.map(|(rank, _)| *rank) else {
            return;
        };
        self.ranks.remove(&rank);
        // Without their virtual time, the tags of the rank would hold its flows back.
        let names: Vec<_> = self.idle.iter().map(|(name, _)| name.clone()).collect();
        for name in names.iter().filter(|(of, _)| *of == rank) {
            self.idle.remove(name);
        }
    }
}

fn key<T>(id: WaitingId, call: &QueuedCall<T>) -> CallKey {
    (call.remaining, call.deadline, id)
}
