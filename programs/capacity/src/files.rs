//! Reading and writing with errors that name the file.

use crate::error::{CapacityError, Errors};
use std::path::{Path, PathBuf};

pub(crate) fn read_file(path: &Path) -> Result<String, Errors> {
    Ok(std::fs::read_to_string(path).map_err(CapacityError::io(path))?)
}

pub(crate) fn write_file(path: &Path, text: &str) -> Result<(), Errors> {
    Ok(std::fs::write(path, text).map_err(CapacityError::io(path))?)
}

/// The paths of a folder's entries, in order; none if there is no folder.
pub(crate) fn sorted_entries(folder: &Path) -> Result<Vec<PathBuf>, Errors> {
    if !folder.is_dir() {
        return Ok(Vec::new());
    }
    let entries = std::fs::read_dir(folder).map_err(CapacityError::io(folder))?;
    let mut paths: Vec<PathBuf> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
    paths.sort();
    Ok(paths)
}

/// A path's last part, as messages name it.
pub(crate) fn file_name(path: &Path) -> String {
    path.file_name().map_or_else(
        || path.display().to_string(),
        |name| name.to_string_lossy().into_owned(),
    )
}
