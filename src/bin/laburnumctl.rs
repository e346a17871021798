//! The operator's command-line client.

use laburnumtide::ctl::{self, Args};
use laburnumtide::settings;

fn main() {
    let args: Args = settings::parse_args("laburnumctl");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be created");
    std::process::exit(runtime.block_on(ctl::run(args)) as i32);
}
