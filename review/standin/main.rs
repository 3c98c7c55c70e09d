//! Cases of the review as scripts: stand-ins of the platform, its clients and its runners around the programs of the
//! deploy file. Usage: `standin CASE FOLDER`, in the root of the repository. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod client;
mod digest;
mod drain;
mod engine;
mod http;
mod memory;
mod poison;
mod process;
mod store;
mod weights;
mod wire;

use std::panic;
use std::path::Path;
use std::sync::Arc;

fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [case, dir] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(process::Record::create(Path::new(dir)));
    record.add(format!("case {case}, trouble: {trouble}"));
    let outcome = panic::catch_unwind(panic::AssertUnwindSafe(|| {
        let folder = process::Folder::create();
        match case.as_str() {
            "slow-reader" => drain::slow_reader(&folder, &record, trouble),
            "quiet-stream" => drain::quiet_stream(&folder, &record, trouble),
            "frozen-loader" => weights::frozen_loader(&folder, &record, trouble),
            "quiet-caller" => poison::quiet_caller(&folder, &record, trouble),
            "large-orders" => memory::large_orders(&folder, &record, trouble),
            other => process::fail(&format!("no case {other}")),
        }
    }));
    let status = match outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    record.add(["the rule held", "the rule was broken", "the case could not run"][status as usize]);
    std::process::exit(status);
}
