//! Entry point of `chestnuthubd`.

use std::process::ExitCode;

fn main() -> ExitCode {
    chestnuthub::daemon::run()
}
