//! Entry point of `chestnuthub-load`.

use std::process::ExitCode;

fn main() -> ExitCode {
    chestnuthub::bench::run()
}
