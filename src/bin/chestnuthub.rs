//! Entry point of `chestnuthub`.

use std::process::ExitCode;

fn main() -> ExitCode {
    chestnuthub::cli::run()
}
