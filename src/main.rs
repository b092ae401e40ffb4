//! The `bronzespindle` executable.

use std::process::ExitCode;

fn main() -> ExitCode {
    bronzespindle::cli::run()
}
