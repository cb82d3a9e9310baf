use std::time::Duration;

use super::{Action, FaultClass, generate};

const TIME: Duration = Duration::from_mins(1);

/// Guards against a run that its seed does not reproduce.
#[test]
fn the_same_seed_gives_the_same_plan() {
    for seed in 0..12 {
        assert_eq!(generate(seed, 6, TIME), generate(seed, 6, TIME));
    }
    assert_ne!(generate(0, 6, TIME), generate(6, 6, TIME));
}

/// Guards against faults in the runs that check that planned work loses no calls.
#[test]
fn planned_runs_have_no_faults() {
    let seed = 6;
    assert_eq!(FaultClass::for_seed(seed), FaultClass::Planned);
    let plan = generate(seed, 6, TIME);
    assert!(plan.len() > 50);
    let planned = |action: &Action| {
        matches!(
            action,
            Action::Stop(_)
                | Action::Hangup(..)
                | Action::Configure
                | Action::Replace(_)
                | Action::Burst(..)
        )
    };
    assert!(plan.iter().all(|(_, action)| planned(action)));
}

/// Guards against plans of earlier seeds that change and so no longer show the failures that they
/// found.
#[test]
fn only_later_seeds_have_statements() {
    let stated = |seed| {
        let plan = generate(seed, 6, TIME);
        let stated = |action: &Action| {
            matches!(
                action,
                Action::Restore(..) | Action::Limit(..) | Action::Depart(_)
            )
        };
        plan.iter().filter(|(_, action)| stated(action)).count()
    };
    assert_eq!((0..12).map(stated).sum::<usize>(), 0);
    assert_eq!(stated(211), 0);
    assert!((1_003..1_008).all(|seed| stated(seed) > 3));
}
