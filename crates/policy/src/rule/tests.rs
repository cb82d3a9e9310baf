use rstest::rstest;

use super::*;

fn kind(name: &str, path: Option<&str>, rank: Rank, floor: u8) -> RuleLine {
    let rule = KindRule {
        name: name.into(),
        service: "despacho".into(),
        method: None,
        path: path.map(Into::into),
        rank,
        deadline_ms: 800,
        floor_percent: floor,
        extra_attempts: 2,
        idempotent: false,
        target_percent: 99.9,
    };
    RuleLine {
        line: u32::from(rank) + 1,
        asked_by: "asked by Ana".into(),
        rule: Rule::Kind(rule),
    }
}

fn customer(name: &str, weight: u32) -> RuleLine {
    let rule = Rule::Customer(CustomerRule {
        name: name.into(),
        weight,
    });
    RuleLine {
        line: 9,
        asked_by: "asked by Rui".into(),
        rule,
    }
}

fn rules() -> RuleSet {
    RuleSet::new(3).with_lines(vec![
        kind("booking", Some("/bookings"), 0, 40),
        kind("quote", Some("/quotes"), 1, 70),
        customer("rosas", 20),
        customer("zero", 0),
    ])
}

/// Guards against a call that gets another kind than the first one that matches.
#[rstest]
#[case("despacho", "/bookings/7", "booking", 0)]
#[case("despacho", "/quotes", "quote", 1)]
#[case("despacho", "/other", "default", DEFAULT_RANK)]
#[case("vitrina", "/bookings", "default", DEFAULT_RANK)]
fn first_matching_kind_applies(
    #[case] service: &str,
    #[case] path: &str,
    #[case] kind: &str,
    #[case] rank: Rank,
) {
    let class = rules().classify(service, "POST", path, "rosas");
    assert_eq!((&*class.kind, class.rank), (kind, rank));
}

/// Guards against a named customer that has less weight than an unnamed one.
#[rstest]
#[case("rosas", 20)]
#[case("zero", DEFAULT_WEIGHT)]
#[case("stranger", DEFAULT_WEIGHT)]
fn weight_is_never_below_default(#[case] name: &str, #[case] weight: u32) {
    assert_eq!(rules().weight(name), weight);
}

/// Guards against floors that reserve more than all slots.
#[test]
fn floors_never_exceed_all_slots() {
    assert_eq!(rules().floors("despacho"), [40, 60, 0, 0, 0, 0, 0, 0]);
}

/// Guards against ranks that lose their floor at dependencies.
#[test]
fn floors_apply_to_dependencies() {
    assert_eq!(rules().floors("inventario"), [40, 60, 0, 0, 0, 0, 0, 0]);
}
