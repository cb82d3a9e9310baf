//! Definition of the command line.

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

/// Exit codes that every subcommand with a request to a daemon can return.
const DAEMON_EXIT_CODES: [u8; 7] = [
    0,
    EXIT_DAEMON,
    EXIT_USAGE,
    EXIT_UNREACHABLE,
    EXIT_OUTCOME_UNKNOWN,
    EXIT_KEY,
    EXIT_IO,
];
/// Default wait for a change, in seconds: the bound within which it is in force on all daemons.
const CHANGE_WAIT_SECS: &str = "13";
/// Default wait of `drain --wait` for the calls in flight, in seconds.
const DRAIN_WAIT_SECS: &str = "60";

/// Builds the whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("sapphiredoor")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Overload control for service call graphs: daemon and operators' commands")
        .after_help(help_footer(
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
            configuration(),
            completions(),
        ])
}

/// Defines `serve`, which [`crate::serve`] runs.
fn serve() -> Command {
    Command::new("serve")
        .about("Run the daemon of this VM")
        .arg(
            file_option("settings")
                .required(true)
                .help("Settings file, JSON with comments"),
        )
        .after_help(help_footer(
            "sapphiredoor serve --settings /etc/sapphiredoor/settings.json",
            &[0, EXIT_DAEMON, EXIT_USAGE, EXIT_MISTAKES, EXIT_IO],
        ))
}

/// Defines `sidecar`, which [`crate::sidecar`] runs.
fn sidecar() -> Command {
    Command::new("sidecar")
        .about("Run the daemon beside an endpoint on the users' platform")
        .arg(
            file_option("settings")
                .required(true)
                .help("Settings file, JSON with comments"),
        )
        .arg(flag("check").help("Only check the settings"))
        .after_help(help_footer(
            "sapphiredoor sidecar --settings /etc/sapphiredoor/settings.jsonc",
            &[0, EXIT_DAEMON, EXIT_USAGE, EXIT_MISTAKES, EXIT_IO],
        ))
}

fn trace() -> Command {
    Command::new("trace")
        .about("Print the log lines of one call from the logs of several sidecar daemons, in order")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("Id of the call; its nested calls are found as well"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .num_args(1..)
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Logs of the daemons"),
        )
        .after_help(help_footer(
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
        .after_help(help_footer(
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
                .help(
                    "Older and newer file; a single file is the newer one, compared with the fleet",
                ),
        )
        .arg(
            revision_option("revision")
                .help("Revision of the fleet to compare with; by default the one in force"),
        );
    with_daemon(command, false).after_help(help_footer(
        "sapphiredoor rules diff old.rules new.rules\n\
         sapphiredoor rules diff new.rules --daemon 10.1.0.7:7402 --key-file operator.key",
        &[&DAEMON_EXIT_CODES[..], &[EXIT_MISTAKES, EXIT_CONFLICT]].concat(),
    ))
}

fn apply() -> Command {
    let command = Command::new("apply")
        .about("Apply a rules file; safe to run again")
        .arg(rules_file())
        .arg(revision_option("base").help(
            "Revision that the file was made from; by default the one in the first line that \
             `rules show` prints",
        ))
        .arg(edit_id());
    with_daemon(with_edit(command), true).after_help(help_footer(
        "sapphiredoor rules apply new.rules --base 12 --author 'Ana Rojas' --reason 'frost week' \
         --dry-run --daemon 10.1.0.7:7402 --key-file operator.key\n\
         sapphiredoor rules apply new.rules --base 12 --author 'Ana Rojas' --reason 'frost week' \
         --wait --daemon 10.1.0.7:7402 --key-file operator.key",
        &[
            &DAEMON_EXIT_CODES[..],
            &[EXIT_MISTAKES, EXIT_CONFLICT, EXIT_WAIT_TIMEOUT],
        ]
        .concat(),
    ))
}

fn history() -> Command {
    with_daemon(
        Command::new("history").about("List the last changes, newest first"),
        true,
    )
    .after_help(help_footer(
        "sapphiredoor rules history --daemon 10.1.0.7:7402 --key-file operator.key",
        &DAEMON_EXIT_CODES,
    ))
}

fn show() -> Command {
    let command = Command::new("show")
        .about("Print the rules in force, or of an earlier revision, with the revision on top")
        .arg(revision_option("revision").help("Revision to print; by default the one in force"));
    with_daemon(command, true).after_help(help_footer(
        "sapphiredoor rules show --daemon 10.1.0.7:7402 --key-file operator.key > new.rules",
        &[&DAEMON_EXIT_CODES[..], &[EXIT_CONFLICT]].concat(),
    ))
}

fn rollback() -> Command {
    let command = Command::new("rollback")
        .about("Return to the rules of an earlier revision, as a new revision")
        .arg(
            revision_option("to")
                .required(true)
                .help("Revision to return to"),
        )
        .arg(revision_option("base").help("Revision to replace; by default the one in force"))
        .arg(edit_id());
    with_daemon(with_edit(command), true).after_help(help_footer(
        "sapphiredoor rules rollback --to 11 --author 'Ana Rojas' --reason 'bookings refused' \
         --wait --daemon 10.1.0.7:7402 --key-file operator.key",
        &[
            &DAEMON_EXIT_CODES[..],
            &[EXIT_MISTAKES, EXIT_CONFLICT, EXIT_WAIT_TIMEOUT],
        ]
        .concat(),
    ))
}

fn members() -> Command {
    with_daemon(
        Command::new("members").about("List the daemons of the fleet"),
        true,
    )
    .after_help(help_footer(
        "sapphiredoor members --daemon 10.1.0.7:7402 --key-file operator.key",
        &DAEMON_EXIT_CODES,
    ))
}

fn status() -> Command {
    let command = Command::new("status")
        .about("Show the state of one daemon")
        .arg(flag("counters").help("Print the counters instead of the state"));
    with_daemon(command, true).after_help(help_footer(
        "sapphiredoor status --daemon 10.1.0.7:7402 --key-file operator.key\n\
         sapphiredoor status --counters --output json --daemon 10.1.0.7:7402 \
         --key-file operator.key",
        &DAEMON_EXIT_CODES,
    ))
}

fn explain() -> Command {
    let command = Command::new("explain")
        .about("Say why a customer, a kind of work or a call is served or refused")
        .arg(option("customer", "NAME").help("Customer"))
        .arg(option("kind", "NAME").help("Kind of work; by default all"))
        .arg(option("call", "ID").help("Call id of a response"));
    with_daemon(command, true).after_help(help_footer(
        "sapphiredoor explain --customer rosas-del-sur --kind booking --daemon 10.1.0.7:7402 \
         --key-file operator.key\n\
         sapphiredoor explain --call 5f0c2a --daemon 10.1.0.7:7402 --key-file operator.key",
        &DAEMON_EXIT_CODES,
    ))
}

fn report() -> Command {
    let command = Command::new("report")
        .about("Show the burn rates of the error budgets over 5 minutes and 1 hour")
        .arg(file_option("svg").help("Also write a chart of the kinds to an SVG file"));
    with_daemon(command, true).after_help(help_footer(
        "sapphiredoor report --svg burn.svg --daemon 10.1.0.7:7402 --key-file operator.key",
        &DAEMON_EXIT_CODES,
    ))
}

fn drain() -> Command {
    let command = Command::new("drain")
        .about("Drain the VM of a daemon: it takes no new calls and finishes those in flight")
        .arg(required_text("author", "Who drains it"))
        .arg(required_text("reason", "Why"))
        .arg(flag("wait").help("Wait until no work is left"))
        .arg(wait_seconds(DRAIN_WAIT_SECS));
    with_daemon(command, true).after_help(help_footer(
        "sapphiredoor drain --author 'Rui Costa' --reason 'kernel update' --wait \
         --daemon 10.1.0.7:7402 --key-file operator.key",
        &[&DAEMON_EXIT_CODES[..], &[EXIT_WAIT_TIMEOUT]].concat(),
    ))
}

fn homes() -> Command {
    let list = with_daemon(
        Command::new("list").about("List the home slots with their holders"),
        true,
    );
    let reassign = Command::new("reassign")
        .about("Confirm that both holders of a lost slot have exited, so that it gets new holders")
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
        .about("Show and repair the homes of callers' idempotency keys")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            list.after_help(help_footer(
                "sapphiredoor homes list --daemon 10.1.0.7:7402 --key-file operator.key",
                &DAEMON_EXIT_CODES,
            )),
            with_daemon(reassign, true).after_help(help_footer(
                "sapphiredoor homes reassign --slot 12 --epoch 3 --daemon 10.1.0.7:7402 \
                 --key-file operator.key",
                &[&DAEMON_EXIT_CODES[..], &[EXIT_CONFLICT]].concat(),
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
        .after_help(help_footer(
            "sapphiredoor settings check /etc/sapphiredoor/settings.json",
            &[0, EXIT_USAGE, EXIT_MISTAKES, EXIT_IO],
        ));
    Command::new("settings")
        .about("Check the settings of a daemon")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check)
}

fn configuration() -> Command {
    let check = Command::new("check")
        .about("Report what is wrong with a configuration before it is sent, and what it changes")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Configuration as it would be written to the store"),
        )
        .arg(file_option("in-force").help("Configuration in force, to compare with"))
        .after_help(help_footer(
            "sapphiredoor configuration check platform/examples/organisations.json\n\
             sapphiredoor configuration check new.json --in-force old.json --output json",
            &[0, EXIT_USAGE, EXIT_MISTAKES, EXIT_IO],
        ));
    Command::new("configuration")
        .about("Check a configuration of the users' platform")
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
        .after_help(help_footer(
            "sapphiredoor completions bash",
            &[0, EXIT_USAGE, EXIT_IO],
        ))
}

/// Adds the arguments of subcommands that change the rules.
fn with_edit(command: Command) -> Command {
    command
        .arg(required_text("author", "Who applies it"))
        .arg(required_text("reason", "Why"))
        .arg(flag("dry-run").help("Check and merge the change without writing it"))
        .arg(flag("wait").help("Wait until every reachable daemon has the change in force"))
        .arg(wait_seconds(CHANGE_WAIT_SECS))
}

/// Adds the arguments that name a daemon and the operator key.
fn with_daemon(command: Command, required: bool) -> Command {
    let daemon = Arg::new("daemon")
        .long("daemon")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .required(required)
        .help("Operator address of a daemon");
    let key = file_option("key-file")
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

fn file_option(name: &'static str) -> Arg {
    option(name, "FILE").value_parser(value_parser!(PathBuf))
}

fn revision_option(name: &'static str) -> Arg {
    option(name, "REVISION").value_parser(value_parser!(u64))
}

fn required_text(name: &'static str, help: &'static str) -> Arg {
    option(name, "TEXT").required(true).help(help)
}

fn wait_seconds(default: &'static str) -> Arg {
    option("wait-seconds", "SECONDS")
        .value_parser(value_parser!(u64).range(1..=3_600))
        .default_value(default)
        .help("Maximum time to wait")
}

fn option(name: &'static str, value_name: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value_name)
}

fn flag(name: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue)
}

/// Formats examples and exit codes for the end of a help text.
fn help_footer(examples: &str, codes: &[u8]) -> String {
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
