//! Folders that end with the test.

use std::io;
use std::path::{Path, PathBuf};

/// A folder of one test in the system's folder for temporary files. It is removed when the value is dropped.
///
/// Declare it after the processes that use it: fields are dropped in the order in which they are declared.
#[derive(Debug)]
pub struct TestFolder {
    path: PathBuf,
}

impl TestFolder {
    /// Makes the folder; the name is the test's own within its process.
    pub fn new(name: &str) -> io::Result<TestFolder> {
        let folder_name = format!("tansy-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(folder_name);
        std::fs::create_dir_all(&path)?;
        Ok(TestFolder { path })
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The path of a file in it.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Writes a file in it: its path.
    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.file(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        // A folder that can't be removed is no reason to fail a test.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
