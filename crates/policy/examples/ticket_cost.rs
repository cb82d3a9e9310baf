//! Prints the memory of ticket records and key entries, the cost of one decision, and what both
//! amount to at the scale of `docs/design.md`.
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

const CALLS: f64 = 370_000.0;
const DAEMONS: usize = 1_500;
const NON_IDEMPOTENT: f64 = 0.05;
const KEY_ONLY: f64 = 1.0 / 6.0;
const ANSWER: usize = 1_024;
/// VM failures and replacements a day.
const LOSSES: f64 = 182.0;
const DATA_CENTRES: f64 = 7.0;
const BUDGET: usize = 64 * 1_024 * 1_024;
const MIB: f64 = 1_024.0 * 1_024.0;

fn wall() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_hours(1)
}

fn holder(vm: usize) -> Holder {
    Holder::new(format!("pt-centro-a-{vm:04}"), 1_796_000_000_000_000)
}

fn ticket(rng: &mut impl Rng) -> Ticket {
    let named = holder(rng.random_range(0..DAEMONS));
    Ticket::new(named.vm, named.incarnation, wall(), rng)
}

/// Resident memory of this process in bytes, zero where it is not known.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * 4_096
}

/// Nanoseconds for each of `count` calls.
fn cost(count: usize, mut call: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..count).for_each(&mut call);
    start.elapsed().as_secs_f64() * 1e9 / count as f64
}

/// Fills a book and returns its memory, without and with answers, and the cost of one ticket.
fn measure_book(count: usize, rng: &mut SmallRng) -> (usize, usize, f64) {
    let me = holder(0);
    let fill = |size: usize, tickets: &[Ticket]| {
        let limits = TicketLimits::default();
        let mut book = TicketTable::new(Arc::clone(&me.vm), me.incarnation, limits);
        let spent = cost(tickets.len(), |at| {
            let ticket = &tickets[at];
            assert_eq!(book.admit(wall(), ticket, 2), TicketDecision::Queue);
            book.start(wall(), ticket.id).expect("the ticket is fresh");
            let body = vec![0; size].into();
            let answer = StoredResponse {
                status: 201,
                headers: Vec::new(),
                body,
            };
            book.finish(ticket.id, (size > 0).then_some(answer));
        });
        (book.memory(), spent)
    };
    let mint = |_| Ticket::new(Arc::clone(&me.vm), me.incarnation, wall(), &mut *rng);
    let tickets: Vec<Ticket> = (0..count).map(mint).collect();
    let (bare, spent) = fill(0, &tickets);
    let (whole, _) = fill(ANSWER, &tickets);
    (bare, whole, spent)
}

/// An owner of slot 0 with its successor, each with the members of the whole fleet.
struct Pair {
    now: Instant,
    homes: [HomeNode; 2],
}

impl Pair {
    fn new() -> Self {
        let members: Vec<HomeMember> = (0..DAEMONS)
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
            homes: [slot.owner.clone(), successor]
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
        assert!(pair.homes[0].serves(pair.now, 0));
        pair
    }

    /// Handles an event and carries its messages about slot 0; returns the last reply.
    fn handle(&mut self, at: usize, event: Event) -> Option<ClaimReply> {
        let mut reply = None;
        for action in self.homes[at].handle(self.now, event) {
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
                Action::Reply(_, found) => reply = Some(found),
                Action::Send(..) | Action::ReadMap => {}
            }
        }
        reply
    }

    fn holder(&self, at: usize) -> Holder {
        let slot = &self.homes[0].map().expect("the map is known").slots[0];
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
    let retention = TICKET_LIFETIME.as_secs_f64();
    let booked = CALLS * NON_IDEMPOTENT;
    let records = (booked / DAEMONS as f64 * KEY_RETENTION.as_secs_f64()).ceil() as usize;
    let keep = (KEY_RETENTION + KEY_RETENTION_MARGIN).as_secs_f64();
    let claims = booked * KEY_ONLY;
    let entries = (claims / SLOT_COUNT as f64 * keep).ceil() as usize;

    let (bare, full, offer) = measure_book(records, rng);
    println!(
        "non-idempotent calls: {booked:.0}/s, {:.1}/s a daemon",
        booked / DAEMONS as f64
    );
    println!("ticket records: {records} a daemon for 900 s (a ticket lives {retention:.0} s)");
    println!(
        "  memory of a record: {} B, in all {:.2} MiB",
        bare / records,
        bare as f64 / MIB
    );
    println!("  with answers of {ANSWER} B: {:.2} MiB", full as f64 / MIB);
    println!("  offer, start and finish of one ticket: {offer:.0} ns");

    let keys: Vec<String> = (0..)
        .map(|number| format!("booking-{number:012}"))
        .filter(|key| slot_of("despacho", key) == 0)
        .take(entries)
        .collect();
    let mut pair = Pair::new();
    let idle = cost(1_000, |_| {
        black_box(pair.homes[0].handle(pair.now, Event::Tick));
    });
    let before = resident();
    let claim = cost(entries, |at| {
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
    let grown = resident() - before;
    let table = pair.homes[0].memory();
    println!(
        "key entries: {:.1}/s a slot, {entries} a slot for {keep:.0} s",
        claims / SLOT_COUNT as f64
    );
    println!(
        "  memory of an entry: {} B, a slot {:.2} MiB",
        table / entries,
        table as f64 / MIB
    );
    println!(
        "  resident growth for owner and successor: {:.2} MiB",
        grown as f64 / MIB
    );
    println!("  claim, store at the successor and reply: {claim:.0} ns at both");
    println!("  tick with {DAEMONS} members: {idle:.0} ns");

    let attempt = FailedAttempt {
        refusal: Refusal::not_run(Reason::QueueFull),
        idempotent: false,
        retries: 0,
        deadline: pair.now + Duration::from_secs(1),
    };
    let mut budget = RetryBudget::new();
    let retry = cost(1_000_000, |_| {
        budget.record_call();
        let mut allowance = AttemptAllowance::new(2);
        black_box(attempt.retry_delay(pair.now, &mut allowance, &mut budget, rng));
    });
    println!("retry decision: {retry:.0} ns");
    println!("  a claim costs {:.1} times a ticket", claim / offer);

    let answers = TicketLimits::default().response_bytes;
    let most = bare + answers + 2 * table;
    println!(
        "memory of a daemon: {:.1} MiB with all answers that the cap allows ({:.0} MiB) and as owner \
         of one slot and successor of another; the budget is {} MiB: {}",
        most as f64 / MIB,
        answers as f64 / MIB,
        BUDGET / (1_024 * 1_024),
        if most <= BUDGET {
            "met"
        } else {
            "passed, more slots are needed"
        },
    );
    let roles = 2.0 * SLOT_COUNT as f64;
    let writes = LOSSES * roles / DAEMONS as f64;
    println!(
        "platform writes: {writes:.1} a day, {:.5}/s, from VM losses",
        writes / 86_400.0
    );
    let lost = roles / DATA_CENTRES;
    println!(
        "  loss of a data centre: {lost:.0} roles, at most {:.0} requests if each conflicts with all",
        lost * (lost + 1.0) / 2.0
    );
}
