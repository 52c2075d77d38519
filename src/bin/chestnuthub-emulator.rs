//! Entry point of `chestnuthub-emulator`.

use std::process::ExitCode;

fn main() -> ExitCode {
    chestnuthub::emulator::run()
}
