//! Runs the scripted cases of the second review: `review-tools-2 CASE PROGRAM FOLDER RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod endpoint;
mod host;
mod quota_homes;

use std::path::Path;
use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, record] = args.as_slice() else {
        eprintln!("usage: review-tools-2 CASE PROGRAM FOLDER RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let paths = (Path::new(program), Path::new(folder), Path::new(record));
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "quota-homes" => quota_homes::run(paths, trouble),
        _ => Err(format!("no case {case}")),
    });
    match result {
        Ok(Ok(true)) => println!("the rule held"),
        Ok(Ok(false)) => {
            println!("the rule was broken");
            exit(1);
        }
        Ok(Err(why)) => {
            eprintln!("the case couldn't run: {why}");
            exit(2);
        }
        Err(_) => exit(2),
    }
}
