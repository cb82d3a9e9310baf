//! Command-line program with the stand-ins and the load generator.

use std::process::ExitCode;

mod command;

fn main() -> ExitCode {
    // Scenarios run this program with `serve` as their daemons.
    if std::env::args_os()
        .nth(1)
        .is_some_and(|command| command == "serve")
    {
        return sapphiredoor::run(std::env::args_os());
    }
    match command::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}
