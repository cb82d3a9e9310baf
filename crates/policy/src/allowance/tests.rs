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

/// Guards against a nested call that claims to return more than it was lent.
#[rstest]
#[case(0, 1)]
#[case(2, 3)]
#[case(255, 3)]
fn reclaims_at_most_the_lent_attempts(#[case] claimed: u8, #[case] left: u8) {
    let mut allowance = AttemptAllowance::new(3);
    let lent = allowance.lend(2);
    assert_eq!((lent.count(), allowance.left()), (2, 1));
    allowance.reclaim(lent, claimed);
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

/// Guards against more retries than a tenth of the calls and one burst.
#[test]
fn retries_are_at_most_a_tenth_of_the_calls() {
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

/// Guards against a retry of a call that may have run, cannot succeed, is past its deadline, or has
/// no extra attempts left.
#[rstest]
#[case::not_run(Refusal::not_run(Reason::QueueFull), false, 1_000, 1, true)]
#[case::may_have_run(Refusal::unknown(Reason::Connection), false, 1_000, 1, false)]
#[case::idempotent(Refusal::unknown(Reason::Connection), true, 1_000, 1, true)]
#[case::malformed(Refusal::not_run(Reason::BadRequest), true, 1_000, 1, false)]
#[case::below_level(Refusal::not_run(Reason::Level), true, 1_000, 1, false)]
#[case::late(Refusal::not_run(Reason::QueueFull), true, 0, 1, false)]
#[case::spent(Refusal::not_run(Reason::QueueFull), true, 1_000, 0, false)]
fn retries_only_calls_that_are_safe_to_retry(
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
const MAX_FAN_OUT: u32 = 3;
/// Sends by a client that resends aggressively.
const MAX_CLIENT_SENDS: u32 = 5;
/// Attempts by a hop without an allowance.
const MAX_HOP_ATTEMPTS: u32 = 3;

/// Calls of one chain: a leaf fails at random, any other node fails if a child still fails after
/// its retries.
#[derive(Debug)]
struct ChainModel {
    failure_rate: f64,
    fan_out: u32,
    rng: SmallRng,
    /// Calls that reached the last service.
    leaves: u32,
    /// Attempts beyond the first of their call.
    retries: u32,
}

impl ChainModel {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            failure_rate: rng.random_range(0.0..=1.0),
            fan_out: rng.random_range(1..=MAX_FAN_OUT),
            rng,
            leaves: 0,
            retries: 0,
        }
    }

    /// Runs a node and returns whether it succeeds. With an allowance, the node spends from it.
    fn run_node(&mut self, depth: u32, mut allowance: Option<&mut AttemptAllowance>) -> bool {
        if depth == DEPTH {
            self.leaves += 1;
            return !self.rng.random_bool(self.failure_rate);
        }
        // All children are called, as in a parallel fan-out.
        let failed =
            (0..self.fan_out).filter(|_| !self.call_child(depth, allowance.as_deref_mut()));
        failed.count() == 0
    }

    fn call_child(&mut self, depth: u32, mut allowance: Option<&mut AttemptAllowance>) -> bool {
        for attempt in 0.. {
            let allowed = match &mut allowance {
                _ if attempt == 0 => true,
                Some(allowance) => allowance.spend(),
                None => attempt < MAX_HOP_ATTEMPTS,
            };
            if !allowed {
                return false;
            }
            self.retries += u32::from(attempt > 0);
            let succeeded = match &mut allowance {
                Some(allowance) => {
                    let lent = allowance.lend(self.rng.random_range(0..=u8::MAX));
                    let mut received = AttemptAllowance::new(lent.count());
                    let succeeded = self.run_node(depth + 1, Some(&mut received));
                    // The response is lost, or claims too much although the child has spent
                    // nothing. A child that claims what it has spent is not modelled: daemons trust
                    // each other.
                    let unspent = received.left();
                    let claimed = match self.rng.random_range(0..4) {
                        0 => 0,
                        1 if unspent == lent.count() => u8::MAX,
                        _ => unspent,
                    };
                    allowance.reclaim(lent, claimed);
                    succeeded
                }
                None => self.run_node(depth + 1, None),
            };
            if succeeded {
                return true;
            }
        }
        false
    }
}

/// Guards against retries that multiply over the hops: with an allowance, the extra attempts of a
/// whole chain and the calls to its last service stay within a fixed factor.
#[test]
fn extra_attempts_of_a_chain_stay_within_the_allowance() {
    const EXTRA: u8 = 3;
    let (mut minimum, mut bounded, mut unbounded, mut worst) = (0_u64, 0_u64, 0_u64, [0.0_f64; 2]);
    for seed in 0..10_000 {
        let mut model = ChainModel::new(seed);
        let min_leaves = model.fan_out.pow(DEPTH);
        // Resends by the client match the ticket and start nothing, but spend the allowance.
        let resends = model.rng.random_range(0..=MAX_CLIENT_SENDS) as u8;
        let granted = EXTRA.saturating_sub(resends);
        let mut allowance = AttemptAllowance::new(granted);
        model.run_node(0, Some(&mut allowance));
        let extra = model.retries + u32::from(resends.min(EXTRA));
        assert!(
            extra <= u32::from(EXTRA),
            "seed {seed}: {extra} extra attempts"
        );
        assert!(
            model.leaves <= min_leaves * (1 + u32::from(granted)),
            "seed {seed}"
        );

        let mut unlimited = ChainModel::new(seed);
        (0..MAX_CLIENT_SENDS).any(|_| unlimited.run_node(0, None));
        minimum += u64::from(min_leaves);
        bounded += u64::from(model.leaves);
        unbounded += u64::from(unlimited.leaves);
        worst[0] = worst[0].max(f64::from(model.leaves) / f64::from(min_leaves));
        worst[1] = worst[1].max(f64::from(unlimited.leaves) / f64::from(min_leaves));
    }
    let [worst_bounded, worst_unbounded] = worst;
    println!(
        "load of the last service relative to no retries: {:.2} with the allowance (worst {:.2}), \
         {:.2} without (worst {:.2})",
        bounded as f64 / minimum as f64,
        worst_bounded,
        unbounded as f64 / minimum as f64,
        worst_unbounded,
    );
}
