//! Registration of VMs with the platform stand-in.

use anyhow::ensure;
use comfreyramp_http::{HttpClient, Method, Request, json_body};
use serde_json::json;

/// A VM to add to the platform's VM list.
#[derive(Debug)]
pub(crate) struct NewVm<'a> {
    pub(crate) name: &'a str,
    pub(crate) zone: &'a str,
    pub(crate) group: &'a str,
    pub(crate) address: &'a str,
}

/// Adds a VM to the VM list, in state `live`.
pub(crate) async fn register(platform: &str, vm: &NewVm<'_>) -> anyhow::Result<()> {
    let body = json!({
        "name": vm.name,
        "zone": vm.zone,
        "group": vm.group,
        "address": vm.address,
        "state": "live",
    });
    let request = Request::builder()
        .method(Method::PUT)
        .uri(format!("http://{platform}/vms/{}", vm.name))
        .body(json_body(&body))?;
    let answer = HttpClient::default().send(request).await?;
    ensure!(
        answer.status().is_success(),
        "the platform answered {}",
        answer.status()
    );
    Ok(())
}
