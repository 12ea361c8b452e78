//! Paths of the built programs.

use std::env;
use std::path::PathBuf;

use super::FleetError;

/// Returns the directory of the running build profile, such as `target/debug`.
///
/// # Errors
///
/// Fails when the path of the running program is unknown or its directory does not exist.
pub fn build_profile_dir() -> Result<PathBuf, FleetError> {
    let program = env::current_exe().map_err(|source| FleetError::File {
        path: PathBuf::from("the running program"),
        source,
    })?;
    let mut dir = program.clone();
    dir.pop();
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir.pop();
    }
    if dir.is_dir() { Ok(dir) } else { Err(FleetError::MissingProgram(dir)) }
}

/// Returns the path of the binary `name`; fails if it has not been built.
pub(super) fn binary_path(name: &str) -> Result<PathBuf, FleetError> {
    require_file(build_profile_dir()?.join(name))
}

/// Returns the path of the example `name`; fails if it has not been built.
pub(super) fn example_path(name: &str) -> Result<PathBuf, FleetError> {
    require_file(build_profile_dir()?.join("examples").join(name))
}

fn require_file(path: PathBuf) -> Result<PathBuf, FleetError> {
    if path.is_file() { Ok(path) } else { Err(FleetError::MissingProgram(path)) }
}
