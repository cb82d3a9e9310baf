use std::collections::BTreeMap;
use std::time::Duration;

use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::*;

const NOW: SystemTime = UNIX_EPOCH;

fn customer(name: &str, weight: u32) -> String {
    format!("{{\"customer\": {{\"name\": \"{name}\", \"weight\": {weight}}}}} // asked by Ana\n")
}

fn edit(id: &str, base: Revision, text: &str) -> Edit {
    Edit {
        edit: id.to_owned(),
        base,
        text: text.to_owned(),
        author: format!("author-{id}"),
        reason: "test".to_owned(),
        dry_run: false,
    }
}

/// Stand-in for the platform: the stored value with its revision.
#[derive(Default)]
struct Platform {
    revision: Revision,
    value: Option<StoredRules>,
}

impl Platform {
    fn current(&self) -> Option<(Revision, &StoredRules)> {
        self.value.as_ref().map(|value| (self.revision, value))
    }

    fn swap(&mut self, swap: &Swap) -> bool {
        let matches = swap.expected == self.revision;
        if matches {
            self.revision += 1;
            self.value = Some(StoredRules::decode(swap.encoded.as_bytes()).expect("value decodes"));
        }
        matches
    }

    fn apply(&mut self, edit: &Edit) -> Result<ApplyReply, Problem> {
        let decision = apply(
            self.current(),
            edit,
            NOW + Duration::from_secs(self.revision),
        )?;
        if let Some(swap) = &decision.write {
            assert!(self.swap(swap), "there is no other writer");
        }
        Ok(decision.reply)
    }

    fn text(&self) -> &str {
        self.value.as_ref().map_or("", |value| &value.text)
    }
}

fn with_three_rules() -> (Platform, String) {
    let text = [customer("a", 2), customer("b", 2), customer("c", 2)].concat();
    let mut platform = Platform::default();
    platform
        .apply(&edit("one", 0, &text))
        .expect("first edit is valid");
    (platform, text)
}

/// Guards against an edit that reverts changes by another editor since its base.
#[test]
fn merges_edits_of_different_rules() {
    let (mut platform, text) = with_three_rules();
    let mine = text.replace("\"a\", \"weight\": 2", "\"a\", \"weight\": 5") + "// end\n";
    let theirs = [customer("n", 3), customer("c", 2), customer("a", 2)].concat();
    platform
        .apply(&edit("two", 1, &theirs))
        .expect("edit is valid");
    let reply = platform
        .apply(&edit("three", 1, &mine))
        .expect("edits merge");
    assert!(reply.merged);
    let merged = [
        customer("n", 3),
        customer("c", 2),
        customer("a", 5),
        "// end\n".into(),
    ]
    .concat();
    assert_eq!(platform.text(), merged);
}

/// Guards against conflicting edits that are merged, and against a conflict report that does not
/// name the other change.
#[test]
fn conflict_names_the_other_change() {
    let (mut platform, text) = with_three_rules();
    platform
        .apply(&edit("two", 1, &text.replace("2}", "3}")))
        .expect("edit is valid");
    platform
        .apply(&edit("three", 2, &(text.replace("2}", "3}") + "// x\n")))
        .expect("sound");
    let mine = [customer("b", 2), customer("a", 4), customer("d", 2)].concat() + "// y\n";
    let problem = platform
        .apply(&edit("four", 1, &mine))
        .expect_err("edits conflict");
    expect![[r"
        another edit changed the same rules; fetch them with `rules show`, agree with its author and repeat the change there
          customer:a: changed by author-two in revision 2 (test)
          customer:c: changed by author-two in revision 2 (test)
          tail: changed by author-three in revision 3 (test)"]].assert_eq(&problem.to_string());
}

/// Guards against an edit that is applied twice when it is resent after a lost response, and against
/// a reused id that is mistaken for a resend.
#[test]
fn resent_edit_is_applied_once() {
    let (mut platform, text) = with_three_rules();
    let two = edit("two", 1, &(text.clone() + &customer("d", 2)));
    platform.apply(&two).expect("edit is valid");
    platform
        .apply(&edit("three", 2, &text))
        .expect("edit is valid");
    let reply = platform.apply(&two).expect("resend is recognised");
    assert_eq!((reply.applied, reply.revision), (ApplyOutcome::Already, 2));
    assert_eq!(platform.text(), text);
    let other = edit("two", 3, &customer("z", 2));
    let problem = platform.apply(&other).expect_err("id is taken");
    assert_eq!(problem.kind, ProblemKind::Conflict);
}

/// Guards against an edit with an unknown base, which could overwrite changes by others, against
/// invalid requests that are accepted, and against a dry run that writes.
#[test]
fn invalid_edits_are_refused_and_dry_runs_write_nothing() {
    let (mut platform, text) = with_three_rules();
    for (request, kind) in [
        (edit("x", 7, &text), ProblemKind::UnknownRevision),
        (edit("x", 1, "{"), ProblemKind::Mistakes),
        (edit("x y", 1, &text), ProblemKind::BadRequest),
        (edit("", 1, &text), ProblemKind::BadRequest),
        (
            Edit {
                author: "a\u{1b}".into(),
                ..edit("x", 1, &text)
            },
            ProblemKind::BadRequest,
        ),
    ] {
        let problem = platform.apply(&request).expect_err("edit is refused");
        assert_eq!(problem.kind, kind);
    }
    let dry = Edit {
        dry_run: true,
        ..edit("x", 1, &customer("a", 9))
    };
    assert_eq!(
        platform.apply(&dry).map(|reply| reply.applied),
        Ok(ApplyOutcome::DryRun)
    );
    assert_eq!(platform.text(), text);
}

/// Guards against a history that grows without bound, and against a wrong text for an earlier
/// revision.
#[test]
fn history_is_bounded_and_exact() {
    let mut platform = Platform::default();
    let mut texts = vec![String::new()];
    for weight in 1..=30_u32 {
        let text = [
            customer("a", 2 + weight),
            "\n".repeat(weight as usize % 3),
            customer("b", 2),
        ]
        .concat();
        platform
            .apply(&edit(&format!("e{weight}"), weight.into(), ""))
            .expect_err("no such base");
        let base = u64::from(weight) - 1;
        platform
            .apply(&edit(&format!("e{weight}"), base, &text))
            .expect("edit is valid");
        texts.push(text);
    }
    let value = platform.value.as_ref().expect("value is written");
    assert_eq!(value.changes(30).len(), MAX_HISTORY_ENTRIES + 1);
    for (revision, text) in (0..).zip(&texts) {
        let kept = revision >= 30 - MAX_HISTORY_ENTRIES as u64;
        assert_eq!(value.text_at(30, revision).as_ref(), kept.then_some(text));
    }
}

/// Guards against a stored value above the size limit of the platform.
#[test]
fn value_stays_within_its_size_limit() {
    let file = |round: u32| -> String {
        (0..5_000)
            .map(|name| customer(&format!("customer-{round}-{name}"), 2))
            .collect()
    };
    let mut platform = Platform::default();
    for round in 0..4_u32 {
        platform
            .apply(&edit(&format!("e{round}"), round.into(), &file(round)))
            .expect("fits");
        let value = platform.value.as_ref().expect("value is written");
        assert!(value.encode().len() <= MAX_VALUE_BYTES);
    }
    let huge = file(9).replace("Ana", &format!("Ana, {}", "\"".repeat(100)));
    let problem = platform
        .apply(&edit("huge", 4, &huge))
        .expect_err("does not fit");
    assert_eq!(problem.kind, ProblemKind::TooLarge);
}

#[derive(Clone, Debug)]
enum Step {
    /// An editor reads the rules and changes one.
    Write {
        editor: usize,
        name: u8,
        weight: u32,
    },
    /// An editor reads the platform and computes the swap for its edit.
    Decide(usize),
    /// An editor's compare-and-swap reaches the platform. The response may be lost.
    Swap { editor: usize, lost: bool },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..2_usize, 0..5_u8, 0..4_u32).prop_map(|(editor, name, weight)| Step::Write {
            editor,
            name,
            weight
        }),
        (0..2_usize).prop_map(Step::Decide),
        (0..2_usize, any::<bool>()).prop_map(|(editor, lost)| Step::Swap { editor, lost }),
    ];
    prop::collection::vec(step, 1..80)
}

fn weights(text: &str) -> BTreeMap<String, String> {
    let file = file::parse(text.as_bytes()).file;
    file.blocks
        .into_iter()
        .map(|block| (block.id, block.text))
        .collect()
}

#[derive(Default)]
struct Editor {
    edit: Option<Edit>,
    swap: Option<Swap>,
    /// Rule id, and its line before and after the edit as the author sees it.
    intent: (String, Option<String>, Option<String>),
}

/// Guards against an edit that is lost or applied twice when two editors race and responses are
/// lost. The oracle is a map of the rules. For each written edit it applies the intended change, and
/// requires that the map held the line that the author saw or already holds the intended one.
#[test]
fn racing_edits_are_neither_lost_nor_applied_twice() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(300), rng);
    let race = |steps: Vec<Step>| {
        let mut platform = Platform::default();
        let mut editors = [Editor::default(), Editor::default()];
        let mut oracle = BTreeMap::new();
        let mut written = HashSet::new();
        for step in steps {
            match step {
                Step::Write {
                    editor,
                    name,
                    weight,
                } => {
                    let own = &mut editors[editor];
                    if own.edit.is_some() {
                        continue;
                    }
                    let name = format!("c{name}");
                    let mut rules = weights(platform.text());
                    let rule = format!("customer:{name}");
                    let before = rules.remove(&rule);
                    let lines: Vec<&str> = rules.values().map(String::as_str).collect();
                    let mut text = lines.join("\n") + "\n";
                    let after = (weight > 0).then(|| customer(&name, weight + 1));
                    text += after.as_deref().unwrap_or_default();
                    own.intent = (rule, before, after.map(|line| line.trim_end().to_owned()));
                    let id = edit_id(&format!("{editor}{text}"), platform.revision);
                    own.edit = Some(edit(&id, platform.revision, &text));
                }
                Step::Decide(editor) => {
                    let own = &mut editors[editor];
                    let Some(request) = &own.edit else { continue };
                    match apply(platform.current(), request, NOW) {
                        Ok(Decision {
                            write: Some(swap), ..
                        }) => own.swap = Some(swap),
                        Ok(Decision { reply, write: None }) => {
                            let known = written.contains(&request.edit);
                            prop_assert_eq!(reply.applied == ApplyOutcome::Already, known);
                            *own = Editor::default();
                        }
                        Err(problem) => {
                            prop_assert!(!written.contains(&request.edit), "{}", problem);
                            let kinds = [ProblemKind::Conflict, ProblemKind::UnknownRevision];
                            prop_assert!(kinds.contains(&problem.kind), "{}", problem);
                            prop_assert!(request.base < platform.revision);
                            *own = Editor::default();
                        }
                    }
                }
                Step::Swap { editor, lost } => {
                    let own = &mut editors[editor];
                    let Some(swap) = own.swap.take() else {
                        continue;
                    };
                    if platform.swap(&swap) {
                        prop_assert!(written.insert(swap.value.change.edit), "applied twice");
                        let (rule, before, after) = own.intent.clone();
                        // An edit that leaves the rule as it was keeps what others changed in it.
                        if before != after {
                            let found = oracle.get(&rule).cloned();
                            prop_assert!(found == before || found == after, "an edit is lost");
                            match after {
                                Some(after) => oracle.insert(rule, after),
                                None => oracle.remove(&rule),
                            };
                        }
                        if !lost {
                            *own = Editor::default();
                        }
                    }
                    prop_assert_eq!(weights(platform.text()), oracle.clone());
                }
            }
        }
        Ok(())
    };
    runner.run(&steps(), race).expect("no edit is lost");
}
