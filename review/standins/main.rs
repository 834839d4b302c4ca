//! Stand-ins of the review's cases, and the cases that are scripts. `standins CASE RECORD` runs one.
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod early;
mod gateway;
mod head;
mod http;
mod limit;
mod record;
mod rig;
mod store;
mod target;
mod uploads;

use std::{
    env,
    panic::{AssertUnwindSafe, catch_unwind},
    process::ExitCode,
};

use record::Record;

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
    Failed(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(path) else {
        eprintln!("{path} cannot be written");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let run = || match &**case {
        "early" => early::run(&record, has_trouble),
        "head" => head::run(&record, has_trouble),
        "limit" => limit::run(&record, has_trouble),
        "uploads" => uploads::run(&record, has_trouble),
        other => Outcome::Failed(format!("there is no case {other}")),
    };
    let outcome = catch_unwind(AssertUnwindSafe(run))
        .unwrap_or_else(|_| Outcome::Failed(String::from("a stand-in has panicked")));
    let code = match outcome {
        Outcome::Held => {
            record.say("the rule held");
            0
        }
        Outcome::Broken => {
            record.say("the rule was broken");
            1
        }
        Outcome::Failed(why) => {
            record.say(&format!("the case could not run: {why}"));
            2
        }
    };
    record.finish();
    ExitCode::from(code)
}
