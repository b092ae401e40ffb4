use super::*;
use spindle_standin::authority::AuthorityStandin;
use std::sync::Arc;

#[tokio::test]
async fn changed_files_are_loaded_without_a_restart() {
    let authority = AuthorityStandin::new().unwrap();
    let directory = tempfile::tempdir().unwrap();
    let files = authority.write(directory.path(), "127.0.0.1", &authority).unwrap();
    let tls = Tls::load(files).unwrap();
    let before = tls.server();
    let task = tokio::spawn(follow(tls.clone(), Duration::from_millis(10)));
    while Arc::ptr_eq(&before, &tls.server()) {
        tokio::time::sleep(Duration::from_millis(20)).await;
        authority.write(directory.path(), "127.0.0.1", &authority).unwrap();
    }
    task.abort();
}
