//! Runs one case of the review: `review-standin CASE DIRECTORY RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod cases;
mod client;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod sys;
mod upstream;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, directory, path] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE DIRECTORY RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.say(&format!("case {case}, trouble {trouble}"));
    let result = cases::run(case, Path::new(directory), trouble, &record);
    let code = match result {
        Ok(true) => {
            record.say("the rule was broken");
            1
        }
        Ok(false) => {
            record.say("the rule held");
            0
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            2
        }
    };
    record.flush();
    ExitCode::from(code)
}
