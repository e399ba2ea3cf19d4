package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/parquet-go/parquet-go"
	"github.com/spf13/cobra"

	"oatfold/internal/memory/journal"
)

// auditRow is a journal record in the Parquet file. An attempt with several messages has a row for
// each of them.
type auditRow struct {
	Segment string `parquet:"segment,dict"`
	Offset  int64  `parquet:"offset"`
	Bytes   int32  `parquet:"bytes"`
	Kind    string `parquet:"kind,dict"`
	Num     uint32 `parquet:"num"`
	ID      string `parquet:"id"`
	Class   string `parquet:"class,dict"`
	Dest    *int32 `parquet:"dest,optional"`
	Key     string `parquet:"key"`
	AtUs    int64  `parquet:"at_us"`
	Outcome string `parquet:"outcome,dict"`
}

// journalExportCommand implements `oatfold journal export --parquet FILE DIR`, which runs it.
func journalExportCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{Use: "journal-export DIR --out FILE",
		Short: "Write the records of a journal to a Parquet file, without message bodies", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			if st, err := os.Stat(args[0]); err != nil || !st.IsDir() {
				return fmt.Errorf("%s is not a directory", args[0])
			}
			tmp := file + ".tmp" // renamed once it is complete
			f, err := os.Create(tmp)
			if err != nil {
				return err
			}
			w := parquet.NewGenericWriter[auditRow](f, parquet.Compression(&parquet.Zstd))
			rows := 0
			_, err = journal.Inspect(journal.Dir(args[0]), func(r journal.Record) error {
				row := auditRow{
					Segment: r.Segment,
					Offset:  int64(r.Offset),
					Bytes:   int32(r.Bytes),
					Kind:    r.Kind,
					Num:     r.Num,
					ID:      r.ID,
					Class:   r.Class,
					Key:     r.Key,
					AtUs:    r.AtUs,
					Outcome: r.Outcome,
				}
				if r.Dest != nil {
					d := int32(*r.Dest)
					row.Dest = &d
				}
				all := []auditRow{row}
				if len(r.Nums) > 0 {
					all = all[:0]
					for _, n := range r.Nums {
						row.Num = uint32(n)
						all = append(all, row)
					}
				}
				rows += len(all)
				_, err := w.Write(all)
				return err
			})
			if err = errors.Join(err, w.Close(), f.Close()); err == nil {
				err = os.Rename(tmp, file)
			}
			if err == nil {
				fmt.Fprintf(cmd.ErrOrStderr(), "%d rows\n", rows)
			}
			return err
		}}
	cmd.Flags().StringVar(&file, "out", "", "output `file`")
	cmd.MarkFlagRequired("out")
	return cmd
}
