use std::path::{Path, PathBuf};

use clap::Command;
use expect_test::expect;
use rstest::rstest;

use super::*;

/// Root of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Runs the program. Replaces arguments that name a file of the repository by the path of the file.
fn run_program(args: &[String]) -> (u8, String, String) {
    let paths = args.iter().map(|arg| match root().join(arg) {
        path if arg.contains('.') && path.is_file() => path.into_os_string(),
        _ => arg.into(),
    });
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = execute(paths.collect::<Vec<_>>(), &mut out, &mut err);
    let text = |bytes| String::from_utf8(bytes).expect("output is UTF-8");
    (code, text(out), text(err))
}

/// Splits a command line into words as a shell does, up to a redirection, pipe or `&&`.
fn split_words(line: &str) -> Vec<String> {
    let mut words = Vec::new();
    for (index, part) in line.split('\'').enumerate() {
        if index % 2 == 1 {
            words.push(part.to_owned());
        } else {
            words.extend(part.split_whitespace().map(str::to_owned));
        }
    }
    let end = words
        .iter()
        .position(|word| word == ">" || word == "|" || word == "&&");
    words.truncate(end.unwrap_or(words.len()));
    words
}

/// Returns the command lines in the pages and in the help texts.
fn example_lines() -> Vec<String> {
    let pages = [
        "docs/operators.md",
        "docs/callers.md",
        "docs/rules.md",
        "docs/OPERATIONS.md",
        "README.md",
    ];
    let pages =
        pages.map(|page| std::fs::read_to_string(root().join(page)).expect("page is readable"));
    let mut texts = Vec::from(pages);
    let mut commands = vec![cmd::command()];
    while let Some(command) = commands.pop() {
        texts.extend(command.get_after_help().map(ToString::to_string));
        commands.extend(command.get_subcommands().cloned().collect::<Vec<Command>>());
    }
    let lines = texts.iter().flat_map(|text| text.lines()).map(str::trim);
    let lines = lines.filter(|line| line.starts_with("sapphiredoor "));
    lines.map(str::to_owned).collect()
}

/// Guards against pages and help texts with commands that do not work. Parses all examples and runs
/// those that need no daemon and name files of the repository.
#[test]
fn examples_in_pages_and_help_work() {
    let offline = [
        "rules check",
        "rules diff",
        "settings check",
        "sidecar --check",
        "completions",
        "--help",
    ];
    let mut run_count = 0;
    for line in example_lines() {
        let words = split_words(&line);
        let parsed = cmd::command().try_get_matches_from(&words);
        let asks_for_help = parsed
            .as_ref()
            .err()
            .is_some_and(|error| !error.use_stderr());
        assert!(
            parsed.is_ok() || asks_for_help,
            "{line}\n{}",
            parsed.expect_err("does not parse")
        );
        let arguments = words[1..].join(" ");
        let extension = |word: &&String| Path::new(word).extension().is_some();
        let files = words.iter().filter(extension);
        let missing =
            |word: &&String| word.starts_with("examples/") && !root().join(word).is_file();
        assert_eq!(words.iter().find(missing), None, "{line}");
        let present = files.map(Path::new).all(|file| root().join(file).is_file());
        if offline.iter().any(|command| arguments.starts_with(command)) && present {
            let (code, _, err) = run_program(&words);
            assert_eq!(code, 0, "{line}\n{err}");
            run_count += 1;
        }
    }
    assert!(run_count >= 6, "only {run_count} commands ran");
}

/// Guards against a command line whose definition contradicts itself.
#[test]
fn command_line_definition_is_consistent() {
    cmd::command().debug_assert();
}

/// Guards against exit codes other than those that the help lists.
#[rstest]
#[case("sapphiredoor", 2)]
#[case("sapphiredoor rules check nowhere.rules", 9)]
#[case("sapphiredoor rules check Cargo.toml", 3)]
#[case(
    "sapphiredoor rules apply examples/marnota.rules --author a --reason b --daemon 127.0.0.1:1 --key-file nowhere",
    2
)]
#[case("sapphiredoor rules diff examples/marnota.rules", 2)]
#[case("sapphiredoor members --daemon 127.0.0.1:1 --key-file nowhere", 9)]
#[case("sapphiredoor settings check README.md", 3)]
#[case("sapphiredoor status --daemon localhost:1 --key-file k", 2)]
#[case("sapphiredoor --version", 0)]
fn exit_codes_match_the_documented_meanings(#[case] line: &str, #[case] code: u8) {
    let (found, out, err) = run_program(&split_words(line));
    assert_eq!(found, code, "{out}{err}");
    assert_eq!(err.is_empty(), code == 0, "{err}");
}

/// Guards against a help text without examples or exit codes.
#[test]
fn help_lists_examples_and_codes() {
    let (_, out, _) = run_program(&split_words("sapphiredoor rules check --help"));
    expect![[r"
        Report all mistakes of a rules file, without a daemon

        Usage: sapphiredoor rules check [OPTIONS] <FILE>

        Arguments:
          <FILE>  Rules file

        Options:
              --output <FORMAT>  Format of the output [default: text] [possible values: text, json]
              --strict           Fail on warnings as well
              --canonical        Print the file with every rule in canonical form
          -h, --help             Print help

        Examples:
          sapphiredoor rules check examples/calor-vivero.rules
          sapphiredoor rules check --strict --output json examples/marnota.rules

        Exit codes:
          0  done
          2  the command line cannot be used
          3  the rules or the settings have mistakes; nothing was changed
          9  a file or the output cannot be read or written
    "]]
    .assert_eq(&out);
    let mut commands = vec![cmd::command()];
    while let Some(command) = commands.pop() {
        let help = command
            .get_after_help()
            .map(ToString::to_string)
            .unwrap_or_default();
        let leaf = command.get_subcommands().next().is_none();
        let complete = help.contains("Examples:") && help.contains("Exit codes:");
        assert!(complete || !leaf, "{}", command.get_name());
        commands.extend(command.get_subcommands().cloned().collect::<Vec<Command>>());
    }
}

/// Guards against an operators' page whose exit codes differ from those of the program.
#[test]
fn operators_page_lists_the_exit_codes() {
    let page = std::fs::read_to_string(root().join("docs/operators.md")).expect("page is readable");
    for (code, meaning) in failure::EXIT_CODES {
        let row = format!("| {code} | {meaning} |");
        assert!(page.contains(&row), "{row}");
    }
}
