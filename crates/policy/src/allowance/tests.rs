use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::*;

fn chain(deadline: Instant, extra: u8) -> ChainState {
    ChainState {
        rank: 1,
        bucket: 3,
        deadline,
        customer: "rosas".into(),
        allowance: AttemptAllowance::new(extra),
    }
}

/// Guards against a child that claims to return more than it was lent.
#[rstest]
#[case(0, 1)]
#[case(2, 3)]
#[case(255, 3)]
fn return_is_at_most_what_was_lent(#[case] claimed: u8, #[case] left: u8) {
    let mut allowance = AttemptAllowance::new(3);
    let part = allowance.lend(2);
    assert_eq!((part.count(), allowance.left()), (2, 1));
    allowance.reclaim(part, claimed);
    assert_eq!(allowance.left(), left);
}

/// Guards against calls of one chain on one VM that multiply their allowances.
#[test]
fn calls_of_one_chain_share_their_allowances() {
    let start = Instant::now();
    let end = start + Duration::from_secs(1);
    let mut table = ChainTable::new(1);
    table.enter(start, 1, chain(end, 2)).expect("space");
    table.enter(start, 1, chain(end, 1)).expect("same chain");
    assert_eq!(
        table.enter(start, 2, chain(end, 1)),
        Err(Refusal::not_run(Reason::QueueFull))
    );
    assert!(table.get(start, 1).expect("in flight").allowance.spend());
    assert_eq!(
        (table.leave(1, 2), table.leave(1, 1), table.leave(1, 1)),
        (2, 0, 0)
    );
    assert!(table.is_empty());
}

/// Guards against chains that stay in the table or are used past their deadline.
#[test]
fn chain_expires_at_its_deadline() {
    let start = Instant::now();
    let end = start + Duration::from_secs(1);
    let mut table = ChainTable::new(1);
    table.enter(start, 1, chain(end, 2)).expect("space");
    assert!(table.get(end, 1).is_none());
    let late = table.enter(end, 2, chain(end, 2));
    assert_eq!(late, Err(Refusal::not_run(Reason::Deadline)));
    assert!(table.is_empty());
}

/// Guards against retries over a tenth of the calls.
#[test]
fn budget_is_a_tenth_of_the_calls() {
    let mut budget = RetryBudget::new();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_call();
        while budget.spend() {
            retries += 1;
        }
    }
    assert!(
        (1_000..=1_000 + RETRY_BURST).contains(&retries),
        "{retries}"
    );
}

/// Guards against a retry of a call that may have run, cannot succeed, or is late.
#[rstest]
#[case::not_run(Refusal::not_run(Reason::QueueFull), false, 1_000, 1, true)]
#[case::may_have_run(Refusal::unknown(Reason::Connection), false, 1_000, 1, false)]
#[case::idempotent(Refusal::unknown(Reason::Connection), true, 1_000, 1, true)]
#[case::malformed(Refusal::not_run(Reason::BadRequest), true, 1_000, 1, false)]
#[case::below_level(Refusal::not_run(Reason::Level), true, 1_000, 1, false)]
#[case::late(Refusal::not_run(Reason::QueueFull), true, 0, 1, false)]
#[case::spent(Refusal::not_run(Reason::QueueFull), true, 1_000, 0, false)]
fn retries_only_what_is_safe(
    #[case] refusal: Refusal,
    #[case] idempotent: bool,
    #[case] left_ms: u64,
    #[case] extra: u8,
    #[case] retried: bool,
) {
    let now = Instant::now();
    let attempt = FailedAttempt {
        refusal,
        idempotent,
        retries: 0,
        deadline: now + Duration::from_millis(left_ms),
    };
    let mut allowance = AttemptAllowance::new(extra);
    let mut budget = RetryBudget::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let delay = attempt.retry_delay(now, &mut allowance, &mut budget, &mut rng);
    assert_eq!(delay.is_some(), retried);
    assert_eq!(allowance.left(), extra - u8::from(retried));
    assert!(delay.unwrap_or_default() <= FIRST_RETRY_DELAY);
}

const DEPTH: u32 = 4;
const FAN_OUT: u32 = 3;
/// Sends of a client that resends hard, and attempts of a hop that has no allowance.
const HARD_SENDS: u32 = 5;
const HOP_ATTEMPTS: u32 = 3;

/// A call tree: a leaf fails at random, another node fails if a child does after its retries.
#[derive(Debug)]
struct Tree {
    failing: f64,
    width: u32,
    rng: SmallRng,
    /// Calls that reached the last level.
    leaves: u32,
    /// Attempts beyond the first of their call.
    retries: u32,
}

impl Tree {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            failing: rng.random_range(0.0..=1.0),
            width: rng.random_range(1..=FAN_OUT),
            rng,
            leaves: 0,
            retries: 0,
        }
    }

    /// Runs a node. With an allowance, the node spends it and claims any unspent rest.
    fn node(&mut self, level: u32, mut allowance: Option<&mut AttemptAllowance>) -> bool {
        if level == DEPTH {
            self.leaves += 1;
            return !self.rng.random_bool(self.failing);
        }
        // All children are called, as in a parallel fan-out.
        let failed = (0..self.width).filter(|_| !self.child(level, allowance.as_deref_mut()));
        failed.count() == 0
    }

    fn child(&mut self, level: u32, mut allowance: Option<&mut AttemptAllowance>) -> bool {
        for attempt in 0.. {
            let may = match &mut allowance {
                _ if attempt == 0 => true,
                Some(allowance) => allowance.spend(),
                None => attempt < HOP_ATTEMPTS,
            };
            if !may {
                return false;
            }
            self.retries += u32::from(attempt > 0);
            let done = match &mut allowance {
                Some(allowance) => {
                    let part = allowance.lend(self.rng.random_range(0..=u8::MAX));
                    let mut lent = AttemptAllowance::new(part.count());
                    let done = self.node(level + 1, Some(&mut lent));
                    // The answer is lost, or over-claims while the child holds its whole part. A
                    // daemon that returns what it has spent would break the shared trust.
                    let unspent = lent.left();
                    let claimed = match self.rng.random_range(0..4) {
                        0 => 0,
                        1 if unspent == part.count() => u8::MAX,
                        _ => unspent,
                    };
                    allowance.reclaim(part, claimed);
                    done
                }
                None => self.node(level + 1, None),
            };
            if done {
                return true;
            }
        }
        false
    }
}

/// Guards against retries that multiply over the hops: with an allowance, the extra attempts of a
/// whole chain and the calls of its deepest service stay within a fixed factor.
#[test]
fn call_trees_stay_within_the_allowance() {
    const EXTRA: u8 = 3;
    let (mut natural, mut bounded, mut unbounded, mut worst) = (0_u64, 0_u64, 0_u64, [0.0_f64; 2]);
    for seed in 0..10_000 {
        let mut tree = Tree::new(seed);
        let width = tree.width.pow(DEPTH);
        // Resends by the client find the record of the ticket and start nothing, but spend.
        let resends = tree.rng.random_range(0..=HARD_SENDS) as u8;
        let granted = EXTRA.saturating_sub(resends);
        let mut allowance = AttemptAllowance::new(granted);
        tree.node(0, Some(&mut allowance));
        let extra = tree.retries + u32::from(resends.min(EXTRA));
        assert!(
            extra <= u32::from(EXTRA),
            "seed {seed}: {extra} extra attempts"
        );
        assert!(
            tree.leaves <= width * (1 + u32::from(granted)),
            "seed {seed}"
        );

        let mut hard = Tree::new(seed);
        (0..HARD_SENDS).any(|_| hard.node(0, None));
        natural += u64::from(width);
        bounded += u64::from(tree.leaves);
        unbounded += u64::from(hard.leaves);
        worst[0] = worst[0].max(f64::from(tree.leaves) / f64::from(width));
        worst[1] = worst[1].max(f64::from(hard.leaves) / f64::from(width));
    }
    let [worst_bounded, worst_unbounded] = worst;
    println!(
        "calls at the deepest service per natural call: {:.2} with the allowance (worst {:.2}), \
         {:.2} without (worst {:.2})",
        bounded as f64 / natural as f64,
        worst_bounded,
        unbounded as f64 / natural as f64,
        worst_unbounded,
    );
}
