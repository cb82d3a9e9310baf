//! Prints the memory of ticket records and key entries and the time per decision, and projects both
//! to the fleet size in `docs/design.md`.
//!
//! Run with `cargo run --release --locked -p sapphiredoor-policy --example ticket_cost`.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use policy::allowance::{AttemptAllowance, FailedAttempt, RetryBudget};
use policy::home::{
    Action, Claim, ClaimReply, Eligibility, Event, Holder, HomeLimits, HomeMap, HomeMember,
    HomeNode, KEY_RETENTION, KEY_RETENTION_MARGIN, Message, MessageBody, SLOT_COUNT, SwapOutcome,
    slot_of,
};
use policy::refusal::{Reason, Refusal};
use policy::ticket::{
    StoredResponse, TICKET_LIFETIME, Ticket, TicketDecision, TicketLimits, TicketTable,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Calls in the whole fleet.
const CALLS_PER_SECOND: f64 = 370_000.0;
const DAEMON_COUNT: usize = 1_500;
const NON_IDEMPOTENT_FRACTION: f64 = 0.05;
/// Fraction of the non-idempotent calls whose caller sends a key and no ticket.
const KEY_ONLY_FRACTION: f64 = 1.0 / 6.0;
/// Size of each stored response.
const RESPONSE_BYTES: usize = 1_024;
/// VM failures and replacements in the whole fleet.
const VM_LOSSES_PER_DAY: f64 = 182.0;
const DATA_CENTRE_COUNT: f64 = 7.0;
const MEMORY_BUDGET_BYTES: usize = 64 * 1_024 * 1_024;
const MIB: f64 = 1_024.0 * 1_024.0;

fn wall() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_hours(1)
}

fn holder(vm: usize) -> Holder {
    Holder::new(format!("pt-centro-a-{vm:04}"), 1_796_000_000_000_000)
}

fn ticket(rng: &mut impl Rng) -> Ticket {
    let process = holder(rng.random_range(0..DAEMON_COUNT));
    Ticket::new(process.vm, process.incarnation, wall(), rng)
}

/// Returns the resident memory of this process in bytes, or zero where it is not known.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * 4_096
}

/// Returns the mean time of `count` calls in nanoseconds.
fn mean_nanos(count: usize, mut call: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..count).for_each(&mut call);
    start.elapsed().as_secs_f64() * 1e9 / count as f64
}

/// Fills a table and returns its memory in bytes, without and with responses, and the time per
/// ticket in nanoseconds.
fn measure_table(count: usize, rng: &mut SmallRng) -> (usize, usize, f64) {
    let me = holder(0);
    let fill = |size: usize, tickets: &[Ticket]| {
        let limits = TicketLimits::default();
        let mut table = TicketTable::new(Arc::clone(&me.vm), me.incarnation, limits);
        let nanos = mean_nanos(tickets.len(), |at| {
            let ticket = &tickets[at];
            assert_eq!(table.admit(wall(), ticket, 2), TicketDecision::Queue);
            table.start(wall(), ticket.id).expect("the ticket is fresh");
            let body = vec![0; size].into();
            let response = StoredResponse {
                status: 201,
                headers: Vec::new(),
                body,
            };
            table.finish(ticket.id, (size > 0).then_some(response));
        });
        (table.memory(), nanos)
    };
    let issue = |_| Ticket::new(Arc::clone(&me.vm), me.incarnation, wall(), &mut *rng);
    let tickets: Vec<Ticket> = (0..count).map(issue).collect();
    let (bare, nanos) = fill(0, &tickets);
    let (whole, _) = fill(RESPONSE_BYTES, &tickets);
    (bare, whole, nanos)
}

/// Owner and successor of slot 0, each with the members of the whole fleet.
struct Pair {
    now: Instant,
    nodes: [HomeNode; 2],
}

impl Pair {
    fn new() -> Self {
        let members: Vec<HomeMember> = (0..DAEMON_COUNT)
            .map(|vm| HomeMember {
                holder: holder(vm),
                data_centre: format!("centre-{}", vm % 7).into(),
                eligibility: Eligibility::Eligible,
            })
            .collect();
        let map = HomeMap::initial(&members)
            .expect("there are members")
            .with_revision(1);
        let slot = &map.slots[0];
        let successor = slot.successor.clone().expect("there are two data centres");
        let mut pair = Self {
            now: Instant::now(),
            nodes: [slot.owner.clone(), successor]
                .map(|me| HomeNode::new(me, HomeLimits::default(), 1)),
        };
        for at in 0..2 {
            pair.handle(at, Event::Members(members.clone()));
            pair.handle(1 - at, Event::Map(map.clone()));
        }
        for _ in 0..10 {
            pair.now += Duration::from_millis(200);
            (0..2).for_each(|at| {
                pair.handle(at, Event::Tick);
            });
        }
        assert!(pair.nodes[0].serves(pair.now, 0));
        pair
    }

    /// Handles an event, delivers the resulting messages about slot 0 and returns the last reply.
    fn handle(&mut self, at: usize, event: Event) -> Option<ClaimReply> {
        let mut reply = None;
        for action in self.nodes[at].handle(self.now, event) {
            let own =
                |message: &Message| message.slot == 0 && (at == 0) == is_request(&message.body);
            match action {
                Action::Send(_, message) if own(&message) => {
                    let from = self.holder(at);
                    reply = self.handle(1 - at, Event::Message(from, message)).or(reply);
                }
                Action::Swap { sequence, .. } => {
                    let _: Option<ClaimReply> =
                        self.handle(at, Event::SwapResult(sequence, SwapOutcome::Unknown));
                }
                Action::Reply(_, claim_reply) => reply = Some(claim_reply),
                Action::Send(..) | Action::ReadMap => {}
            }
        }
        reply
    }

    fn holder(&self, at: usize) -> Holder {
        let slot = &self.nodes[0].map().expect("the map is known").slots[0];
        if at == 0 {
            slot.owner.clone()
        } else {
            slot.successor.clone().expect("the slot has a successor")
        }
    }
}

const fn is_request(body: &MessageBody) -> bool {
    matches!(body, MessageBody::Grant | MessageBody::Store(..))
}

fn main() {
    let rng = &mut SmallRng::seed_from_u64(1);
    let lifetime = TICKET_LIFETIME.as_secs_f64();
    let ticketed = CALLS_PER_SECOND * NON_IDEMPOTENT_FRACTION;
    let records = (ticketed / DAEMON_COUNT as f64 * KEY_RETENTION.as_secs_f64()).ceil() as usize;
    let entry_lifetime = (KEY_RETENTION + KEY_RETENTION_MARGIN).as_secs_f64();
    let claims = ticketed * KEY_ONLY_FRACTION;
    let entries = (claims / SLOT_COUNT as f64 * entry_lifetime).ceil() as usize;

    let (bare, full, ticket_ns) = measure_table(records, rng);
    println!(
        "non-idempotent calls: {ticketed:.0}/s, {:.1}/s per daemon",
        ticketed / DAEMON_COUNT as f64
    );
    println!("ticket records: {records} per daemon for 900 s (ticket lifetime {lifetime:.0} s)");
    println!(
        "  memory per record: {} B, total {:.2} MiB",
        bare / records,
        bare as f64 / MIB
    );
    println!(
        "  with responses of {RESPONSE_BYTES} B: {:.2} MiB",
        full as f64 / MIB
    );
    println!("  admit, start and finish of one ticket: {ticket_ns:.0} ns");

    let keys: Vec<String> = (0..)
        .map(|number| format!("booking-{number:012}"))
        .filter(|key| slot_of("despacho", key) == 0)
        .take(entries)
        .collect();
    let mut pair = Pair::new();
    let tick_ns = mean_nanos(1_000, |_| {
        black_box(pair.nodes[0].handle(pair.now, Event::Tick));
    });
    let before = resident_bytes();
    let claim_ns = mean_nanos(entries, |at| {
        let claim = Claim {
            service: "despacho".into(),
            key: keys[at].as_str().into(),
            ticket: ticket(rng),
            replaces: None,
            extra_attempts: 2,
        };
        let reply = pair.handle(0, Event::Claim(1, claim, wall()));
        assert!(matches!(reply, Some(ClaimReply::Stored(_))), "{reply:?}");
    });
    let growth = resident_bytes() - before;
    let table_bytes = pair.nodes[0].memory();
    println!(
        "key entries: {:.1}/s per slot, {entries} per slot for {entry_lifetime:.0} s",
        claims / SLOT_COUNT as f64
    );
    println!(
        "  memory per entry: {} B, per slot {:.2} MiB",
        table_bytes / entries,
        table_bytes as f64 / MIB
    );
    println!(
        "  resident growth for owner and successor: {:.2} MiB",
        growth as f64 / MIB
    );
    println!("  claim, store at the successor and reply: {claim_ns:.0} ns at both");
    println!("  tick with {DAEMON_COUNT} members: {tick_ns:.0} ns");

    let attempt = FailedAttempt {
        refusal: Refusal::not_run(Reason::QueueFull),
        idempotent: false,
        retries: 0,
        deadline: pair.now + Duration::from_secs(1),
    };
    let mut budget = RetryBudget::new();
    let retry_ns = mean_nanos(1_000_000, |_| {
        budget.record_call();
        let mut allowance = AttemptAllowance::new(2);
        black_box(attempt.retry_delay(pair.now, &mut allowance, &mut budget, rng));
    });
    println!("retry decision: {retry_ns:.0} ns");
    println!("  a claim costs {:.1} times a ticket", claim_ns / ticket_ns);

    let responses = TicketLimits::default().response_bytes;
    let total = bare + responses + 2 * table_bytes;
    println!(
        "memory of a daemon: {:.1} MiB with all responses that the limit allows ({:.0} MiB) and as \
         owner of one slot and successor of another; the budget is {} MiB: {}",
        total as f64 / MIB,
        responses as f64 / MIB,
        MEMORY_BUDGET_BYTES / (1_024 * 1_024),
        if total <= MEMORY_BUDGET_BYTES {
            "met"
        } else {
            "exceeded, more slots are needed"
        },
    );
    let roles = 2.0 * SLOT_COUNT as f64;
    let writes = VM_LOSSES_PER_DAY * roles / DAEMON_COUNT as f64;
    println!(
        "platform writes: {writes:.1} per day, {:.5}/s, from VM losses",
        writes / 86_400.0
    );
    let lost = roles / DATA_CENTRE_COUNT;
    println!(
        "  loss of a data centre: {lost:.0} roles, at most {:.0} requests if each conflicts with all",
        lost * (lost + 1.0) / 2.0
    );
}
