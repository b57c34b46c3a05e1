//! Stand-ins for the cases of the second review.
//!
//! `review-stand-ins-2 CASE RECORD` plays a case from the root of the repository. It exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` it plays the
//! same case without the disruption.

mod cases;
mod fleet;
mod http;
mod record;
mod system;
mod worker;

use record::Record;
use std::process::ExitCode;

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("review-stand-ins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    record.note(format!(
        "case {case}, {}",
        if has_trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let Some(play) = cases::find(case) else {
        record.note("there is no such case");
        return ExitCode::from(2);
    };
    match play(&record, has_trouble) {
        Ok(Verdict::Held) => {
            record.note("HELD");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(why)) => {
            record.note(format!("BROKEN: {why}"));
            ExitCode::from(1)
        }
        Err(error) => {
            record.note(format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
