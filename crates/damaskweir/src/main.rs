//! Serving system for multi-stage model pipelines.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    let code = damaskweir::command::run(arguments, &mut std::io::stdout(), &mut std::io::stderr());
    ExitCode::from(code)
}
