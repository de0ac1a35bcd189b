//! Serving system for multi-stage model pipelines.

use std::process::ExitCode;

fn main() -> ExitCode {
    damaskweir::command::run(std::env::args_os().skip(1).collect())
}
