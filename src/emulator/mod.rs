//! Emulators of the external systems, one HTTP server each, for tests and for the demo.
//!
//! An emulator prints `listening addr=<address>` once it is bound. In addition to the interface of
//! the system that it emulates, each serves these calls:
//!
//! - `GET /record`: what the emulator did, for tests to check.
//! - `POST /faults`: adds a fault, such as `{"kind":"drop_after","calls":1,"path":"/streams/"}`.
//!   The kinds are `refuse` (`status`, 503 by default), `drop_before`, `drop_after`, `delay` and
//!   `delay_answer` (`ms`), `hold` and `hold_answer` (until the faults are cleared), `duplicate`,
//!   `slow_transfer` (`factor`), `stuck_unload`, `stall_stream` and `break_stream` (`after` events)
//!   and `hold_tokens`. A fault affects only calls that match its `method` and its `path` (a
//!   prefix), and at most `calls` of them; without `calls` it lasts until it is cleared. The
//!   exception is `slow_transfer`, which slows down all transfers while it lasts. An outage is
//!   `refuse` or `drop_before` without `calls`.
//! - `GET /faults` and `DELETE /faults`: lists and clears the faults.
//! - `POST /release {"tokens":n}` (engine): allows streams held by `hold_tokens` to send `n` more
//!   events.

mod cli;
mod engine;
mod fault;
mod http;
mod list;
mod log;
mod raw;
mod service;
pub mod site;
mod store;

use std::{
    io::{
        self,
        Read, //
    },
    process::{
        self,
        ExitCode, //
    },
    thread, //
};

pub use engine::token;

use cli::Command;

/// Runs the program and returns its exit code.
pub fn run() -> ExitCode {
    let options = cli::parser().run();
    if options.until_stdin_closes {
        thread::spawn(exit_with_stdin);
    }
    let listen = options.listen;
    let served = match options.command {
        Command::Log(limits) => log::serve(listen, limits),
        Command::List { lag } => list::serve(listen, lag),
        Command::Store(limits) => store::serve(listen, limits),
        Command::Engine(settings) => engine::serve(listen, settings),
        Command::Service { call_time } => service::serve(listen, call_time),
    };
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("failed to serve on {listen}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Ends the process when standard input closes, so that an emulator doesn't outlive the process
/// that started it.
fn exit_with_stdin() {
    let mut buffer = [0; 64];
    while matches!(io::stdin().read(&mut buffer), Ok(read) if read > 0) {}
    process::exit(0);
}
