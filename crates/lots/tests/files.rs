//! Validation of uploads, and separation of customers' files.

#![allow(
    clippy::panic,
    clippy::unwrap_used,
    reason = "helpers of tests are tests too"
)]

mod support;

use assert_matches::assert_matches;
use comfreyramp_lots::{LineFinding, LotError};
use comfreyramp_standins::platform::MemoryStore;
use support::*;

fn item(id: &str) -> String {
    format!(
        "{{\"custom_id\":\"{id}\",\"method\":\"POST\",\"url\":\"{CHAT}\",\
         \"body\":{{\"model\":\"{MODEL}\"}}}}"
    )
}

async fn findings(content: &str) -> Vec<(u64, &'static str)> {
    let store = MemoryStore::default();
    let lots = lots(&DaemonStore::new(&store));
    let error = upload(&lots, CUSTOMER, content).await.unwrap_err();
    assert!(
        lots.files()
            .list(CUSTOMER, None, 10)
            .await
            .unwrap()
            .0
            .is_empty()
    );
    let LotError::Findings(findings) = error else {
        panic!("{error}");
    };
    let short = |it: &LineFinding| (it.line, it.code);
    findings.iter().map(short).collect()
}

#[tokio::test(start_paused = true)]
async fn all_faults_are_reported_with_their_lines() {
    let good = item("a");
    let lines = [
        good.clone(),
        String::new(),
        "{\"custom_id\":".to_owned(),
        good.replace("\"a\"", "\"\""),
        good.replace("\"a\"", "\"b\"").replace("POST", "GET"),
        good.replace("\"a\"", "\"c\"").replace(CHAT, "/v1/other"),
        good.replace("\"a\"", "\"d\"")
            .replace("\"model\"", "\"modell\""),
        good.replace("\"a\"", "\"e\"").replace(MODEL, "other"),
        good.replace("}}", ",\"stream\":true}}")
            .replace("\"a\"", "\"f\""),
        good,
    ];
    assert_eq!(
        findings(&lines.join("\n")).await,
        [
            (3, "invalid_json"),
            (4, "invalid_custom_id"),
            (5, "invalid_method"),
            (6, "invalid_url"),
            (7, "missing_model"),
            (8, "mixed_items"),
            (9, "invalid_stream"),
            (10, "duplicate_custom_id"),
        ]
    );
    assert_eq!(findings("\n\n").await, [(0, "empty_file")]);
}

// A caller sends a line without an end. Buffering it completely would exhaust
// the daemon's memory and fail everybody's requests.
#[tokio::test(start_paused = true)]
async fn an_endless_line_is_refused() {
    let line = item("a").replace("model\":\"", &format!("model\":\"{}", "x".repeat(2 << 20)));
    assert_eq!(findings(&line).await, [(1, "line_too_long")]);
}

#[tokio::test(start_paused = true)]
async fn a_file_of_too_many_items_is_refused() {
    let content: String = (0..99_001).map(|it| item(&it.to_string()) + "\n").collect();
    assert_eq!(findings(&content).await, [(99_001, "too_many_items")]);
}

#[tokio::test(start_paused = true)]
async fn content_comes_back_as_it_was_sent() {
    let store = MemoryStore::default();
    let lots = lots(&DaemonStore::new(&store));
    let mut content = input(700).replace("verse 3\"", "verse 3 \u{e9}\\n\"");
    content.insert_str(0, "\n\r\n");
    content.push_str(&item("last, without line end"));
    let file = upload(&lots, CUSTOMER, &content).await.unwrap();
    let record = lots.files().get(CUSTOMER, &file).await.unwrap();
    assert_eq!(record.segments, [256, 256, 189]);
    assert_eq!(read(&lots, CUSTOMER, &file).await.unwrap(), content);
}

// A value in the store is limited to 1 MB. If segments were limited by the
// number of items alone, the write of a segment with incompressible text would
// be rejected every time.
#[tokio::test(start_paused = true)]
async fn incompressible_items_fit_the_platform() {
    use rand::{Rng, SeedableRng, rngs::StdRng};
    let mut random = StdRng::seed_from_u64(5);
    let store = MemoryStore::default();
    let lots = lots(&DaemonStore::new(&store));
    let mut noise = |_| char::from(random.random_range(b'#'..b'[')).to_string();
    let content: String = (0..40)
        .map(|it| {
            let text: String = (0..100_000).map(&mut noise).collect();
            item(&it.to_string()).replace("\"model\"", &format!("\"user\":\"{text}\",\"model\""))
                + "\n"
        })
        .collect();
    let file = upload(&lots, CUSTOMER, &content).await.unwrap();
    assert_eq!(read(&lots, CUSTOMER, &file).await.unwrap(), content);
}

// A caller guesses or learns the id of another customer's file or lot.
#[tokio::test(start_paused = true)]
async fn customers_see_their_own_only() {
    let store = MemoryStore::default();
    let lots = lots(&DaemonStore::new(&store));
    let lot = submit(&lots, CUSTOMER, 3).await.unwrap();
    let file = &lot.input_file_id;
    let others = ["kitenge", "registr", "registry/", "registry/x", ""];
    for other in others {
        let files = lots.files();
        assert_matches!(files.get(other, file).await, Err(LotError::NotFound(_)));
        assert_matches!(files.content(other, file).await, Err(LotError::NotFound(_)));
        assert_matches!(files.delete(other, file).await, Err(LotError::NotFound(_)));
        assert_matches!(lots.get(other, &lot.id).await, Err(LotError::NotFound(_)));
        assert_matches!(
            lots.cancel(other, &lot.id).await,
            Err(LotError::NotFound(_))
        );
        assert_matches!(
            lots.create(other, &new_lot(file)).await,
            Err(LotError::NotFound(_))
        );
        assert!(files.list(other, None, 10).await.unwrap().0.is_empty());
        assert!(lots.list(other, None, 10).await.unwrap().lots.is_empty());
    }
    let traversing = format!("../{CUSTOMER}/{file}");
    let found = lots.files().get("kitenge", &traversing).await;
    assert_matches!(found, Err(LotError::NotFound(_)));
    // The same content uploaded by another customer is a separate file.
    let other = upload(&lots, "kitenge", &input(3)).await.unwrap();
    assert_ne!(other, *file);
}

#[tokio::test(start_paused = true)]
async fn lots_are_listed_newest_first_page_by_page() {
    let store = MemoryStore::default();
    let lots = lots(&DaemonStore::new(&store));
    let mut ids = Vec::new();
    for items in 1..=5 {
        ids.push(submit(&lots, CUSTOMER, items).await.unwrap().id);
        tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    }
    ids.reverse();
    let first = lots.list(CUSTOMER, None, 2).await.unwrap();
    assert!(first.has_more);
    let after = &first.lots[1].id;
    let rest = lots.list(CUSTOMER, Some(after), 10).await.unwrap();
    assert!(!rest.has_more);
    let listed = first.lots.iter().chain(&rest.lots);
    assert_eq!(listed.map(|it| it.id.clone()).collect::<Vec<_>>(), ids);
}
