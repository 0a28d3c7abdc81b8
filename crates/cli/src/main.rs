//! Scheduler for colocated latency-critical and batch work.

mod cmd;
mod error;

use std::process::ExitCode;

use async_std::task;
use bpaf::{Args, ParseFailure};

use crate::cmd::Cmd;

/// Exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let cmd = match cmd::cmd().run_inner(Args::current_args()) {
        Ok(cmd) => cmd,
        Err(failure) => return print_usage(failure),
    };
    let buffer = logs::init(matches!(cmd, Cmd::Serve(_)));
    let result = task::block_on(run(cmd));
    buffer.flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {}", error::chain(&e));
            ExitCode::from(e.code())
        }
    }
}

async fn run(cmd: Cmd) -> Result<(), error::Error> {
    match cmd {
        Cmd::Check(check) => check.run(),
        Cmd::Console(console) => console.run().await,
        Cmd::Dev(dev) => dev.run().await,
        Cmd::Entry(entry) => entry.run().await,
        Cmd::Explain(explain) => explain.run().await,
        Cmd::Load(load) => load.run().await,
        Cmd::Publish(publish) => publish.run().await,
        Cmd::Serve(serve) => serve.run().await,
        Cmd::Status(status) => status.run().await,
    }
}

fn print_usage(failure: ParseFailure) -> ExitCode {
    failure.print_message(100);
    if failure.exit_code() == 0 { ExitCode::SUCCESS } else { ExitCode::from(USAGE_EXIT_CODE) }
}
