//! Runs one case: `review-case NAME ROOT RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod fleet;
mod http;
mod operator;
mod platform;
mod record;
mod sys;
mod worker;

use record::Record;
use std::path::PathBuf;

/// What came of a case: the breaches of the rule, none if it held.
type Verdict = Result<Vec<String>, String>;

/// What every case is given.
pub struct Setting {
    pub root: PathBuf,
    pub record: Record,
    /// The disruption takes place.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, root, record] = arguments.as_slice() else {
        eprintln!("review-case NAME ROOT RECORD");
        std::process::exit(2);
    };
    let record = match Record::create(record.as_ref()) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record}: {error}");
            std::process::exit(2);
        }
    };
    let setting = Setting {
        root: root.into(),
        record: record.clone(),
        trouble: std::env::var("TROUBLE").map_or(true, |t| t != "0"),
    };
    record.note(format!("case {name}, with the disruption: {}", setting.trouble));
    let code = match cases::run(name, &setting) {
        Ok(breaches) if breaches.is_empty() => {
            record.note("the rule held");
            println!("{name}: the rule held");
            0
        }
        Ok(breaches) => {
            for breach in &breaches {
                record.note(format!("BROKEN: {breach}"));
                println!("{name}: BROKEN: {breach}");
            }
            1
        }
        Err(why) => {
            record.note(format!("the case could not run: {why}"));
            println!("{name}: could not run: {why}");
            2
        }
    };
    std::process::exit(code);
}
