//! Measures the propagation of bundles and prints the results, as `damaskweir bench spread` does.

use pico_args::Arguments;

fn main() -> Result<(), damaskweir_bench::BenchError> {
    let args = std::iter::once("spread".into()).chain(std::env::args_os().skip(1));
    let text = damaskweir_bench::run(Arguments::from_vec(args.collect()))?;
    print!("{text}");
    Ok(())
}
