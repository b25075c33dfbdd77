//! The cases of the second review, and the stand-ins that they start.

mod cases;
mod client;
mod engine;
mod http;
mod json;
mod store;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let result = match args.as_slice() {
        ["streams", address, id, events, gap] => match (address.parse(), events.parse(), gap.parse()) {
            (Ok(address), Ok(events), Ok(gap)) => {
                engine::run_streams(address, id.to_string(), events, gap).map(|()| cases::Verdict::Held)
            }
            _ => return ExitCode::from(2),
        },
        ["orders", address, id, crash, work] => match (address.parse(), work.parse()) {
            (Ok(address), Ok(work)) => {
                let crash = match *crash {
                    "dark" => engine::Crash::Dark,
                    "ends" => engine::Crash::Ends,
                    _ => engine::Crash::Not,
                };
                let work = std::time::Duration::from_millis(work);
                engine::run_orders(address, id.to_string(), crash, work).map(|()| cases::Verdict::Held)
            }
            _ => return ExitCode::from(2),
        },
        ["case", name, record] => cases::run(name, record, std::env::var("TROUBLE").as_deref() != Ok("0")),
        _ => {
            eprintln!("usage: review-standin-2 case NAME RECORD");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(cases::Verdict::Held) => ExitCode::SUCCESS,
        Ok(cases::Verdict::Broken) => ExitCode::from(1),
        Ok(cases::Verdict::NotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
