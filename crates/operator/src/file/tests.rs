use expect_test::{expect, expect_file};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::*;

fn seeded_runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    TestRunner::new_with_rng(Config::with_cases(cases), rng)
}

fn mistakes(bytes: &[u8]) -> String {
    let lines: Vec<String> = parse(bytes)
        .mistakes
        .iter()
        .map(ToString::to_string)
        .collect();
    lines.join("\n")
}

const VALID_FILE: &str = r#"// Bookings first.
{"kind": {"name": "booking", "service": "despacho", "method": "POST", "path": "/bookings", "rank": 0, "deadline_ms": 800, "floor_percent": 40, "extra_attempts": 2, "target_percent": 99.9}} // asked by Ana Rojas, dispatch

{"kind": {"name": "tide", "service": "vitrina", "rank": 7, "deadline_ms": 300, "idempotent": true}} /* asked by Rui Sá */ // since May
{"customer": {"name": "rosas", "weight": 20}} // asked by Ana Rojas
// end
"#;

/// Guards against a parser that loses a rule, a comment or the name of the person who asked.
#[test]
fn valid_file_is_parsed_and_written_without_loss() {
    let (file, warnings) = parse(VALID_FILE.as_bytes())
        .into_result()
        .expect("file is valid");
    assert_eq!(warnings, []);
    assert_eq!(file.text(), VALID_FILE);
    expect![[r#"
        // Bookings first.
        {"kind": {"name": "booking", "service": "despacho", "method": "POST", "path": "/bookings", "rank": 0, "deadline_ms": 800, "floor_percent": 40, "extra_attempts": 2, "idempotent": false, "target_percent": 99.9}} // asked by Ana Rojas, dispatch

        {"kind": {"name": "tide", "service": "vitrina", "rank": 7, "deadline_ms": 300, "floor_percent": 0, "extra_attempts": 0, "idempotent": true, "target_percent": 99.0}} // asked by Rui Sá since May
        {"customer": {"name": "rosas", "weight": 20}} // asked by Ana Rojas
        // end
    "#]]
    .assert_eq(&file.canonical());
    let class = file
        .rule_set(5)
        .classify("despacho", "POST", "/bookings/3", "rosas");
    assert_eq!(
        (&*class.kind, class.extra_attempts, class.weight, class.line),
        ("booking", 2, 20, 2)
    );
}

/// Guards against a report that stops at the first mistake, gives a wrong line or column, or names
/// no remedy.
#[test]
fn all_mistakes_are_reported_with_place_and_remedy() {
    let text = [
        r#"{"kind": {"name": "a", "service": "s", "rank": 0, "deadline_ms": 8, "extra_attempts": 1}}"#,
        r#"{"kind": {"name": "b", "service": "s", "rank": 9, "deadline_ms": 0, "color": 1}} // asked by TODO"#,
        r#"{"kind": {"name": "c", "service": "t", "rank": 1, "deadline_ms": 8}} // asked by Ana"#,
        r#"{"kind": {"name": "d", "service": "t", "rank": 1, "deadline_ms": 8, "idempotent": true, "floor_percent": 70}} // asked by Ana"#,
        r#"{"kind": {"name": "e", "service": "t", "path": "/e", "rank": 0, "deadline_ms": 8, "idempotent": true}} // asked by Ana"#,
        r#"{"kind": {"name": "f", "service": "u", "method": "GET", "path": "/f", "rank": 0, "deadline_ms": 8, "extra_attempts": 0, "floor_percent": 60}} // asked by Ana"#,
        r#"{"kind": {"name": "g", "service": "u", "path": "/f", "rank": 0, "deadline_ms": 8, "idempotent": true, "floor_percent": 41}} // asked by Ana"#,
        r#"{"customer": {"name": "ñandú", "weight": 1.5}} // asked by Ana"#,
        r#"{"customer": {"name": "rosas", "weight": 1}} // asked by Ana"#,
        r#"{"customer": {"name": "rosas", "weight": 2, "weight": 3}} // asked by Ana"#,
        r#"{"customer": {"name": "other", "weight": 2}} // asked by Ana"#,
        r#"{"customer": {"name": "x", "weight": 2},} // asked by Ana"#,
        r#"{"kind": 3} // asked by Ana"#,
        r"[1] // asked by Ana",
        r#"{"customer": {"name": "y", "weight": 2}} // since May"#,
        "{\"customer\": {\"name\": \"z\", \"weight\": 2}} // asked by \u{7}",
    ]
    .join("\n");
    expect![[r#"
        1:90: error: no comment that names who asked; end the line with // asked by NAME
        2:10: error: a kind that is not idempotent, without a bound on its attempts; add "extra_attempts", 0 to 10, or "idempotent": true
        2:48: error: rank is 9; write a whole number from 0 to 7
        2:66: error: deadline_ms is 0; write a whole number from 1 to 900000
        2:69: error: unknown field "color"; remove it or use one of name, service, method, path, rank, deadline_ms, floor_percent, extra_attempts, idempotent, target_percent
        2:82: error: a comment without a person's name: "asked by TODO"; end the line with // asked by NAME
        3:10: error: a kind that is not idempotent, without a bound on its attempts; add "extra_attempts", 0 to 10, or "idempotent": true
        4:19: error: kind:d never matches, because kind:c on line 3 takes all its calls; move it above line 3 or remove it
        5:19: error: kind:e never matches, because kind:c on line 3 takes all its calls; move it above line 3 or remove it
        6:19: warning: kind "f" only reads and is not idempotent; add "idempotent": true if the call may run more than once
        7:19: error: floors of service "u" add up to 101 percent; lower floor_percent of its kinds to 100 in all
        8:23: error: name is "ñandú"; write a name of 1 to 64 of a-z A-Z 0-9 - _ .
        8:42: error: weight is 1.5; write a whole number from 1 to 1000
        9:23: warning: customer "rosas" has the weight of an unnamed one; raise the weight or remove the line
        10:23: error: customer "rosas" is declared on line 9 already; remove one of the two or rename it
        10:45: error: field "weight" for the second time; keep one of the two
        11:23: error: customer name "other" is reserved; choose another name
        12:40: error: not a rule: trailing commas are not allowed; write one JSON object a line, such as {"customer": {...}} // asked by NAME
        13:10: error: 3 in place of an object; write {"kind": {...}} or {"customer": {...}}
        14:1: error: a list in place of an object; write {"kind": {...}} or {"customer": {...}}
        15:42: error: a comment without a name: "since May"; end the line with // asked by NAME
        16:54: error: a control character, U+0007; remove it"#]].assert_eq(&mistakes(text.as_bytes()));
    expect!["1:6: error: a byte that is not UTF-8; save the file as UTF-8"]
        .assert_eq(&mistakes(b"// \xc3\xb1 \xff\n"));
}

/// Guards against an unbounded report for a file that is not a rules file.
#[test]
fn report_length_is_bounded() {
    let report = parse("{\n".repeat(5_000).as_bytes()).mistakes;
    assert_eq!(report.len(), MAX_MISTAKES + 1);
    let found = &report.last().expect("report has lines").found;
    assert_eq!(found, "4000 further mistakes are not listed");
    assert_eq!(parse(&vec![b'\n'; MAX_FILE_BYTES + 1]).mistakes.len(), 1);
}

/// Guards against a table in `docs/rules.md` that differs from the bounds that the parser checks.
#[test]
fn docs_page_has_the_table_of_fields() {
    let page = include_str!("../../../../docs/rules.md");
    let start = page.find("| rule |").expect("page has a table");
    let end = page[start..]
        .find("\n\n")
        .map_or(page.len(), |end| start + end + 1);
    let whole = [&page[..start], &crate::field::table(), &page[end..]].concat();
    expect_file!["../../../../docs/rules.md"].assert_eq(&whole);
}

/// Guards against bytes that make the parser panic, and against a canonical form that parses to
/// other rules than the original text.
#[test]
fn any_bytes_parse_and_canonical_form_keeps_the_rules() {
    let edits = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3_u8), 0..6);
    seeded_runner(400)
        .run(&(edits, any::<Vec<u8>>()), |(edits, random_bytes)| {
            let mut bytes = VALID_FILE.as_bytes().to_vec();
            for (index, byte, action) in edits {
                let at = index.index(bytes.len());
                match action {
                    0 => bytes[at] = byte,
                    1 => bytes.insert(at, b"{}[]\",:/ \t\r\n\\*0"[usize::from(byte % 15)]),
                    _ => drop(bytes.drain(at..bytes.len().min(at + 1 + usize::from(byte % 40)))),
                }
                if bytes.is_empty() {
                    break;
                }
            }
            for bytes in [bytes, random_bytes] {
                let outcome = parse(&bytes);
                for mistake in &outcome.mistakes {
                    prop_assert!(mistake.line >= 1 && mistake.column >= 1);
                    prop_assert!(!mistake.remedy.is_empty());
                }
                let reparsed = parse(outcome.file.canonical().as_bytes()).file;
                let rules = |file: &RulesFile| -> Vec<(String, Rule)> {
                    let lines = file.blocks.iter().map(|block| &block.line);
                    lines
                        .map(|line| (line.asked_by.to_string(), line.rule.clone()))
                        .collect()
                };
                prop_assert_eq!(rules(&reparsed), rules(&outcome.file));
            }
            Ok(())
        })
        .expect("any bytes are parsed");
}
