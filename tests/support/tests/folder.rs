//! A test's folder is removed with its value.

use tansy_test_support::folder::TestFolder;

#[test]
fn a_folder_and_its_files_are_removed_with_its_value() {
    let folder = TestFolder::new("folder-test").expect("a folder");
    let file = folder.write("a.txt", "text").expect("a file");
    assert_eq!(file, folder.file("a.txt"));
    assert_eq!(std::fs::read_to_string(&file).expect("a file"), "text");
    let path = folder.path().to_path_buf();
    drop(folder);
    assert!(!path.exists());
}
