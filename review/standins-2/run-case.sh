# Sourced by the run.sh of a case, with the name of its program and the folder
# of the case. Exits with 0 if the rule held, 1 if it was broken, 2 if the case
# couldn't run. The program starts the gateways; they end with it.
run_case() {
    local program=$1 folder=$2 record=${3:-record.txt}
    local root
    root=$(cd "$folder/../.." && pwd)
    export GATEWAY=$root/target/bin/roseworks-gateway
    export RECORD=$folder/$record
    export TROUBLE=${TROUBLE:-1}
    WORK_DIR=$(mktemp -d)
    export WORK_DIR
    trap 'rm -rf "$WORK_DIR"' EXIT
    local needed
    for needed in "$GATEWAY" "$root/target/review-2/$program"; do
        if [ ! -x "$needed" ]; then
            echo "not built: ${needed#"$root"/}" >&2
            exit 2
        fi
    done
    local status=0
    timeout -k 2 115 "$root/target/review-2/$program" || status=$?
    tail -n 4 "$RECORD" 2>/dev/null
    [ "$status" -le 1 ] || status=2
    exit "$status"
}
