//! Cases of the review that run the gateway as separate processes. `CASE FOLDER` plays one and writes
//! `record.txt` into the folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run.

mod cold_wipe;
mod drain;
mod gateway;
mod http;
mod poison;
mod record;
mod rig;
mod store;
mod target;

use std::{env, path::Path, process::exit};

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: CASE FOLDER");
        exit(2);
    };
    let folder = Path::new(folder);
    let result = match &**case {
        "poison-wipe" => poison::run_wipe(folder),
        "poison-pair" => poison::run_pair(folder),
        "poison-waves" => poison::run_waves(folder),
        "cold-wipe" => cold_wipe::run(folder),
        "foreign-entry" => drain::run_foreign(folder),
        "restored-drain" => drain::run_restored(folder),
        _ => {
            eprintln!("unknown case {case}");
            exit(2);
        }
    };
    match result {
        Ok(true) => exit(1),
        Ok(false) => exit(0),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
    }
}
