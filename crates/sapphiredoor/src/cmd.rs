//! Command line.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;

use crate::failure::{
    EXIT_CODES, EXIT_CONFLICT, EXIT_DAEMON, EXIT_IO, EXIT_KEY, EXIT_MISTAKES, EXIT_OUTCOME_UNKNOWN,
    EXIT_UNREACHABLE, EXIT_USAGE, EXIT_WAIT_TIMEOUT,
};

/// Exit codes of each subcommand that asks a daemon.
const REMOTE: [u8; 7] = [
    0,
    EXIT_DAEMON,
    EXIT_USAGE,
    EXIT_UNREACHABLE,
    EXIT_OUTCOME_UNKNOWN,
    EXIT_KEY,
    EXIT_IO,
];
/// Bound within which a change is in force everywhere, in seconds.
const IN_FORCE_SECS: &str = "13";
/// Time that `drain --wait` gives the calls in flight, in seconds.
const DRAIN_SECS: &str = "60";

/// The whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("sapphiredoor")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Overload control for service call graphs: daemon and operators' commands")
        .after_help(help(
            "sapphiredoor serve --settings /etc/sapphiredoor/settings.json\n\
             sapphiredoor rules check examples/marnota.rules\n\
             sapphiredoor status --daemon 10.1.0.7:7402 --key-file operator.key",
            &EXIT_CODES.map(|(code, _)| code),
        ))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("output")
                .long("output")
                .global(true)
                .value_name("FORMAT")
                .value_parser(PossibleValuesParser::new(["text", "json"]))
                .default_value("text")
                .help("Format of the output"),
        )
        .subcommands([
            serve(),
            sidecar(),
            trace(),
            rules(),
            members(),
            status(),
            explain(),
            report(),
            drain(),
            homes(),
            settings(),
            completions(),
        ])
}

/// The daemon. Its work is in the module that `serve` is dispatched to.
fn serve() -> Command {
    Command::new("serve")
        .about("Run the daemon of this VM")
        .arg(
            file("settings")
                .required(true)
                .help("Settings file, JSON with comments"),
        )
        .after_help(help(
            "sapphiredoor serve --settings /etc/sapphiredoor/settings.json",
            &[0, EXIT_DAEMON, EXIT_USAGE, EXIT_MISTAKES, EXIT_IO],
        ))
}

/// The daemon beside an endpoint. Its work is in the module that `sidecar` is dispatched to.
fn sidecar() -> Command {
    Command::new("sidecar")
        .about("Run the daemon beside an endpoint on the users' platform")
        .arg(
            file("settings")
                .required(true)
                .help("Settings file, JSON with comments"),
        )
        .arg(flag("check").help("Only check the settings"))
        .after_help(help(
            "sapphiredoor sidecar --settings /etc/sapphiredoor/settings.jsonc",
            &[0, EXIT_DAEMON, EXIT_USAGE, EXIT_MISTAKES, EXIT_IO],
        ))
}

fn trace() -> Command {
    Command::new("trace")
        .about("Print the log lines of one call over several sidecar daemons, in order")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("Id of the call; its own calls are found as well"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .num_args(1..)
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Logs of the daemons"),
        )
        .after_help(help(
            "sapphiredoor trace 9c41d07be2a35f68 vm-1.log vm-2.log",
            &[0, EXIT_USAGE, EXIT_IO],
        ))
}

fn rules() -> Command {
    Command::new("rules")
        .about("Check, compare and change the rules")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([check(), diff(), apply(), history(), show(), rollback()])
}

fn check() -> Command {
    Command::new("check")
        .about("Report all mistakes of a rules file, without a daemon")
        .arg(rules_file())
        .arg(flag("strict").help("Fail on warnings as well"))
        .arg(flag("canonical").help("Print the file with every rule in canonical form"))
        .after_help(help(
            "sapphiredoor rules check examples/calor-vivero.rules\n\
             sapphiredoor rules check --strict --output json examples/marnota.rules",
            &[0, EXIT_USAGE, EXIT_MISTAKES, EXIT_IO],
        ))
}

fn diff() -> Command {
    let command = Command::new("diff")
        .about("Compare two rules files, or the rules of the fleet with a file, by rule id")
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .num_args(1..=2)
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Older and newer file; with one file, the fleet has the older text"),
        )
        .arg(revision("revision").help("Revision of the fleet in place of the one in force"));
    remote(command, false).after_help(help(
        "sapphiredoor rules diff old.rules new.rules\n\
         sapphiredoor rules diff new.rules --daemon 10.1.0.7:7402 --key-file operator.key",
        &[&REMOTE[..], &[EXIT_MISTAKES, EXIT_CONFLICT]].concat(),
    ))
}

fn apply() -> Command {
    let command = Command::new("apply")
        .about("Apply a rules file; safe to run again")
        .arg(rules_file())
        .arg(revision("base").help(
            "Revision that the file was made from; by default the one in the first line that \
             `rules show` prints",
        ))
        .arg(edit_id());
    remote(change(command), true).after_help(help(
        "sapphiredoor rules apply new.rules --base 12 --author 'Ana Rojas' --reason 'frost week' \
         --dry-run --daemon 10.1.0.7:7402 --key-file operator.key\n\
         sapphiredoor rules apply new.rules --base 12 --author 'Ana Rojas' --reason 'frost week' \
         --wait --daemon 10.1.0.7:7402 --key-file operator.key",
        &[
            &REMOTE[..],
            &[EXIT_MISTAKES, EXIT_CONFLICT, EXIT_WAIT_TIMEOUT],
        ]
        .concat(),
    ))
}

fn history() -> Command {
    remote(
        Command::new("history").about("List the last changes, newest first"),
        true,
    )
    .after_help(help(
        "sapphiredoor rules history --daemon 10.1.0.7:7402 --key-file operator.key",
        &REMOTE,
    ))
}

fn show() -> Command {
    let command = Command::new("show")
        .about("Print the rules in force, or of an earlier revision, with the revision on top")
        .arg(revision("revision").help("Revision of the history"));
    remote(command, true).after_help(help(
        "sapphiredoor rules show --daemon 10.1.0.7:7402 --key-file operator.key > new.rules",
        &[&REMOTE[..], &[EXIT_CONFLICT]].concat(),
    ))
}

fn rollback() -> Command {
    let command = Command::new("rollback")
        .about("Return to the rules of an earlier revision, as a new revision")
        .arg(revision("to").required(true).help("Revision to return to"))
        .arg(revision("base").help("Revision to replace; by default the one in force"))
        .arg(edit_id());
    remote(change(command), true).after_help(help(
        "sapphiredoor rules rollback --to 11 --author 'Ana Rojas' --reason 'bookings refused' \
         --wait --daemon 10.1.0.7:7402 --key-file operator.key",
        &[
            &REMOTE[..],
            &[EXIT_MISTAKES, EXIT_CONFLICT, EXIT_WAIT_TIMEOUT],
        ]
        .concat(),
    ))
}

fn members() -> Command {
    remote(
        Command::new("members").about("List the daemons of the fleet"),
        true,
    )
    .after_help(help(
        "sapphiredoor members --daemon 10.1.0.7:7402 --key-file operator.key",
        &REMOTE,
    ))
}

fn status() -> Command {
    let command = Command::new("status")
        .about("Show the state of one daemon")
        .arg(flag("counters").help("Print the counters in place of the state"));
    remote(command, true).after_help(help(
        "sapphiredoor status --daemon 10.1.0.7:7402 --key-file operator.key\n\
         sapphiredoor status --counters --output json --daemon 10.1.0.7:7402 \
         --key-file operator.key",
        &REMOTE,
    ))
}

fn explain() -> Command {
    let command = Command::new("explain")
        .about("Say why a customer, a kind of work or a call is served or refused")
        .arg(option("customer", "NAME").help("Customer"))
        .arg(option("kind", "NAME").help("Kind of work; by default all"))
        .arg(option("call", "ID").help("Call id of an answer"));
    remote(command, true).after_help(help(
        "sapphiredoor explain --customer rosas-del-sur --kind booking --daemon 10.1.0.7:7402 \
         --key-file operator.key\n\
         sapphiredoor explain --call 5f0c2a --daemon 10.1.0.7:7402 --key-file operator.key",
        &REMOTE,
    ))
}

fn report() -> Command {
    let command = Command::new("report")
        .about("Show the burn of the error budgets over 5 minutes and 1 hour")
        .arg(file("svg").help("Also draw the kinds as a picture"));
    remote(command, true).after_help(help(
        "sapphiredoor report --svg burn.svg --daemon 10.1.0.7:7402 --key-file operator.key",
        &REMOTE,
    ))
}

fn drain() -> Command {
    let command = Command::new("drain")
        .about("Drain the VM of a daemon: no new work, work in flight is finished")
        .arg(note("author", "Who drains it"))
        .arg(note("reason", "Why"))
        .arg(flag("wait").help("Wait until nothing is left"))
        .arg(seconds(DRAIN_SECS));
    remote(command, true).after_help(help(
        "sapphiredoor drain --author 'Rui Costa' --reason 'kernel update' --wait \
         --daemon 10.1.0.7:7402 --key-file operator.key",
        &[&REMOTE[..], &[EXIT_WAIT_TIMEOUT]].concat(),
    ))
}

fn homes() -> Command {
    let list = remote(
        Command::new("list").about("List the home slots with their holders"),
        true,
    );
    let reassign = Command::new("reassign")
        .about("Confirm that both holders of a lost slot have ended, so that it gets new ones")
        .arg(
            option("slot", "SLOT")
                .required(true)
                .value_parser(value_parser!(u32))
                .help("Slot"),
        )
        .arg(
            option("epoch", "EPOCH")
                .required(true)
                .value_parser(value_parser!(u64))
                .help("Epoch that the list shows for the slot"),
        );
    Command::new("homes")
        .about("Show and repair the homes of callers' keys")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            list.after_help(help(
                "sapphiredoor homes list --daemon 10.1.0.7:7402 --key-file operator.key",
                &REMOTE,
            )),
            remote(reassign, true).after_help(help(
                "sapphiredoor homes reassign --slot 12 --epoch 3 --daemon 10.1.0.7:7402 \
                 --key-file operator.key",
                &[&REMOTE[..], &[EXIT_CONFLICT]].concat(),
            )),
        ])
}

fn settings() -> Command {
    let check = Command::new("check")
        .about("Report mistakes of a settings file, without a daemon")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file, JSON with comments"),
        )
        .after_help(help(
            "sapphiredoor settings check /etc/sapphiredoor/settings.json",
            &[0, EXIT_USAGE, EXIT_MISTAKES, EXIT_IO],
        ));
    Command::new("settings")
        .about("Check the settings of a daemon")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check)
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print the completion script of a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("Shell"),
        )
        .after_help(help(
            "sapphiredoor completions bash",
            &[0, EXIT_USAGE, EXIT_IO],
        ))
}

fn change(command: Command) -> Command {
    command
        .arg(note("author", "Who applies it"))
        .arg(note("reason", "Why"))
        .arg(flag("dry-run").help("Check and merge, and write nothing"))
        .arg(flag("wait").help("Wait until every daemon that can be reached has it in force"))
        .arg(seconds(IN_FORCE_SECS))
}

fn remote(command: Command, required: bool) -> Command {
    let daemon = Arg::new("daemon")
        .long("daemon")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .required(required)
        .help("Operator address of a daemon");
    let key = file("key-file")
        .required(required)
        .help("File with the operator key");
    command.args([daemon, key])
}

fn rules_file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Rules file")
}

fn edit_id() -> Arg {
    option("edit-id", "ID").help("Id of the edit; by default made from the text and the base")
}

fn file(name: &'static str) -> Arg {
    option(name, "FILE").value_parser(value_parser!(PathBuf))
}

fn revision(name: &'static str) -> Arg {
    option(name, "REVISION").value_parser(value_parser!(u64))
}

fn note(name: &'static str, what: &'static str) -> Arg {
    option(name, "TEXT").required(true).help(what)
}

fn seconds(default: &'static str) -> Arg {
    option("wait-seconds", "SECONDS")
        .value_parser(value_parser!(u64).range(1..=3_600))
        .default_value(default)
        .help("Time to wait")
}

fn option(name: &'static str, value: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value)
}

fn flag(name: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue)
}

fn help(examples: &str, codes: &[u8]) -> String {
    let mut text = String::from("Examples:\n");
    for line in examples.lines() {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "  {line}");
    }
    text.push_str("\nExit codes:\n");
    for (code, meaning) in EXIT_CODES.iter().filter(|(code, _)| codes.contains(code)) {
        let _ = writeln!(text, "  {code}  {meaning}");
    }
    text.truncate(text.trim_end().len());
    text
}
