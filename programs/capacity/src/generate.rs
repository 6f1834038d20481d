//! The command `page`: generates the page and its plots from the recorded runs, the definitions and the template.

use crate::error::{CapacityError, Errors};
use crate::figures::{Definitions, Evaluation};
use crate::files::{file_name, read_file, sorted_entries, write_file};
use crate::page;
use crate::plot;
use crate::runs::RunStore;
use std::fmt;
use std::path::{Path, PathBuf};

/// The result of `page`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageSummary {
    /// Number of plots generated.
    pub plot_count: usize,
    /// Number of recorded runs.
    pub run_count: usize,
}

impl fmt::Display for PageSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PageSummary {
            plot_count,
            run_count,
        } = self;
        write!(
            f,
            "generated CAPACITY.md and {plot_count} plots from {run_count} runs"
        )
    }
}

/// A generated file.
pub(crate) struct GeneratedFile {
    /// Path relative to the documentation folder.
    pub(crate) path: PathBuf,
    pub(crate) text: String,
}

/// Writes the page and its plots to the documentation folder, and deletes plots that no slope produces.
pub fn generate(docs: &Path) -> Result<PageSummary, Errors> {
    let (store, _) = read_store(docs)?;
    let files = generate_files(docs, &store)?;
    let img = docs.join("img");
    std::fs::create_dir_all(&img).map_err(CapacityError::io(&img))?;
    for path in orphaned_plots(docs, &files)? {
        let path = docs.join(path);
        std::fs::remove_file(&path).map_err(CapacityError::io(&path))?;
    }
    for file in &files {
        write_file(&docs.join(&file.path), &file.text)?;
    }
    Ok(PageSummary {
        plot_count: files.len() - 1,
        run_count: store.runs.len(),
    })
}

/// Reads the recorded runs; also returns the text of their file.
pub(crate) fn read_store(docs: &Path) -> Result<(RunStore, String), Errors> {
    let path = docs.join("capacity/slopes.json");
    let text = read_file(&path)?;
    Ok((RunStore::parse(&file_name(&path), &text)?, text))
}

/// Generates all files in memory: the page, then the plots.
pub(crate) fn generate_files(docs: &Path, store: &RunStore) -> Result<Vec<GeneratedFile>, Errors> {
    let figures = docs.join("capacity/figures.toml");
    let template = docs.join("capacity/CAPACITY.in.md");
    let definitions = Definitions::parse(&file_name(&figures), &read_file(&figures)?)?;
    let evaluation = Evaluation::new(&file_name(&figures), definitions, &store.runs)?;
    let text = page::render(
        &file_name(&template),
        &read_file(&template)?,
        &evaluation,
        store,
    )?;
    let mut files = vec![GeneratedFile {
        path: PathBuf::from("CAPACITY.md"),
        text,
    }];
    for plot in plot::render_all(&evaluation)? {
        files.push(GeneratedFile {
            path: Path::new("img").join(plot.file_name),
            text: plot.svg,
        });
    }
    Ok(files)
}

/// Paths, relative to the documentation folder, of plots in `img` that are not among the generated files.
pub(crate) fn orphaned_plots(docs: &Path, files: &[GeneratedFile]) -> Result<Vec<PathBuf>, Errors> {
    let is_plot = |name: &str| name.starts_with("capacity-") && name.ends_with(".svg");
    Ok(sorted_entries(&docs.join("img"))?
        .iter()
        .filter_map(|path| path.file_name()?.to_str())
        .filter(|name| is_plot(name))
        .map(|name| Path::new("img").join(name))
        .filter(|path| files.iter().all(|file| file.path != *path))
        .collect())
}
